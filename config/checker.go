package config

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxFileBytes is the maximum size of a document or settings file in bytes. The
// bound ensures that a document fits into one frame of the wire protocol.
const MaxFileBytes = 2 << 20

// loadOptions disable the extensions that INI dialects add to "key = value".
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SkipUnrecognizableLines:  true, // checkLines reports them
	SpaceBeforeInlineComment: true,
	PreserveSurroundedQuote:  true,
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00", // no section inherits keys
}

// checker parses one file and collects its problems.
type checker struct {
	file     string
	data     []byte
	index    *lineIndex // built when first needed
	ini      *ini.File
	problems Problems
}

// newChecker parses data. It fails with a Problems only if data exceeds
// MaxFileBytes or is so malformed that its sections cannot be identified;
// other problems are collected in the checker.
func newChecker(file string, data []byte) (*checker, error) {
	if len(data) > MaxFileBytes {
		want := fmt.Sprintf("a file of at most %d bytes", MaxFileBytes)
		return nil, Problems{{File: file, Found: fmt.Sprint(len(data)), Want: want}}
	}
	problems := checkLines(file, data)
	if len(problems) > 0 && mayMisparse(problems) {
		return nil, problems.err()
	}
	parsed, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		problems = append(problems, Problem{File: file, Found: err.Error(), Want: "a valid INI file"})
		return nil, problems.err()
	}
	parsed.BlockMode = false
	return &checker{file: file, data: data, ini: parsed, problems: problems}, nil
}

// mayMisparse reports whether one of the invalid lines, because of a quote, a
// bracket or its encoding, could make the INI parser misread the lines after it.
func mayMisparse(problems Problems) bool {
	for _, p := range problems {
		if strings.ContainsAny(p.Found, "\"'`[") || strings.HasPrefix(p.Want, "UTF-8") {
			return true
		}
	}
	return false
}

// sections returns the named sections in file order, and reports keys outside them.
func (c *checker) sections() []*ini.Section {
	all := c.ini.Sections()
	c.checkUnnamed(all[0])
	return all[1:]
}

// checkUnnamed reports keys above the first section header and a section named
// DEFAULT. The INI parser returns both as one unnamed section.
func (c *checker) checkUnnamed(unnamed *ini.Section) {
	keys := unnamed.Keys()
	if len(keys) > 0 && c.lines().sections[ini.DefaultSection] > 0 {
		c.addProblem(ini.DefaultSection, "", ini.DefaultSection, "a known section")
	}
	for _, key := range keys {
		c.addProblem("", key.Name(), key.Value(), "a section header above the first key")
	}
}

// addProblem records a problem at the line of the key, or at the line of its
// section if the file does not contain the key.
func (c *checker) addProblem(section, key, found, want string) {
	line, ok := c.lines().keys[sectionKey{section, key}]
	if !ok {
		line = c.lines().sections[section]
	}
	c.problems = append(c.problems, Problem{c.file, line, section, key, found, want})
}

// lines returns the line index, building it on first use.
func (c *checker) lines() *lineIndex {
	if c.index == nil {
		c.index = indexLines(c.data)
	}
	return c.index
}
