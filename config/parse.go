package config

import (
	"fmt"
	"sort"
	"strconv"
)

// CurrentFormat is the format number for new documents.
const CurrentFormat = 1

// formatParser parses and validates a document of one format. The checks of a
// released format never change, because all processes must reach the same result
// for a published document, whatever their build; a new rule needs a new format
// number.
type formatParser func(c *checker) *Document

// formats maps format numbers to their parsers.
var formats = map[int]formatParser{
	1: parseFormat1,
}

// Formats returns the supported format numbers in ascending order.
func Formats() []int {
	numbers := make([]int, 0, len(formats))
	for number := range formats {
		numbers = append(numbers, number)
	}
	sort.Ints(numbers)
	return numbers
}

// ParseDocument parses a document and validates it by the checks of the format
// that it declares. file is used in problems only. The error is a Problems.
func ParseDocument(file string, data []byte) (*Document, error) {
	c, err := newChecker(file, data)
	if err != nil {
		return nil, err
	}
	text := c.ini.Section("service").Key("format").Value()
	number, err := strconv.Atoi(text)
	parse, known := formats[number]
	if err != nil || !known {
		c.addProblem("service", "format", text, fmt.Sprintf("one of the supported formats %v", Formats()))
		return nil, c.problems.err()
	}
	doc := parse(c)
	doc.Service.Format = number
	if err := c.problems.err(); err != nil {
		return nil, err
	}
	return doc, nil
}
