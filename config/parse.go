package config

import (
	"fmt"
	"sort"
	"strconv"
)

// CurrentFormat is the format that new documents should have.
const CurrentFormat = 1

// formatCheck reads and checks a document of one format. The checks of a
// released format never change, since every process must judge a published
// document alike; a new rule gets a new number.
type formatCheck func(c *checker) *Document

var formats = map[int]formatCheck{
	1: parseFormat1,
}

// Formats returns the known format numbers in ascending order.
func Formats() []int {
	numbers := make([]int, 0, len(formats))
	for number := range formats {
		numbers = append(numbers, number)
	}
	sort.Ints(numbers)
	return numbers
}

// ParseDocument reads a document and judges it by the checks of the format
// that it names. file is used in problems only. The error is a Problems.
func ParseDocument(file string, data []byte) (*Document, error) {
	c, err := newChecker(file, data)
	if err != nil {
		return nil, err
	}
	text := c.ini.Section("service").Key("format").Value()
	number, err := strconv.Atoi(text)
	check, known := formats[number]
	if err != nil || !known {
		c.add("service", "format", text, fmt.Sprintf("one of the formats %v", Formats()))
		return nil, c.problems.err()
	}
	doc := check(c)
	doc.Service.Format = number
	if err := c.problems.err(); err != nil {
		return nil, err
	}
	return doc, nil
}
