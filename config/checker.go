package config

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxFileBytes bounds a document or settings file, so that a document always
// fits into one frame of the inner protocol.
const MaxFileBytes = 2 << 20

// loadOptions turn off what INI dialects add to "key = value".
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SkipUnrecognizableLines:  true, // the line index reports them
	SpaceBeforeInlineComment: true,
	PreserveSurroundedQuote:  true,
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00", // sections have no parents
}

// checker collects the problems of one file.
type checker struct {
	file     string
	data     []byte
	index    *lineIndex // made for the first problem
	ini      *ini.File
	problems Problems
}

// newChecker reads data. The error is a Problems when the text is so
// malformed that its sections cannot be told apart.
func newChecker(file string, data []byte) (*checker, error) {
	if len(data) > MaxFileBytes {
		want := fmt.Sprintf("at most %d bytes", MaxFileBytes)
		return nil, Problems{{File: file, Found: fmt.Sprint(len(data)), Want: want}}
	}
	problems := checkLines(file, data)
	if len(problems) > 0 && mayDerail(problems) {
		return nil, problems.err()
	}
	parsed, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		problems = append(problems, Problem{File: file, Found: err.Error(), Want: "an INI file"})
		return nil, problems.err()
	}
	parsed.BlockMode = false
	return &checker{file: file, data: data, ini: parsed, problems: problems}, nil
}

// mayDerail reports whether one of the lines could make the INI reader take
// the lines after it for something else.
func mayDerail(problems Problems) bool {
	for _, p := range problems {
		if strings.ContainsAny(p.Found, "\"'`[") || strings.HasPrefix(p.Want, "UTF-8") {
			return true
		}
	}
	return false
}

// sections returns the sections of the file in its order, without the unnamed one.
func (c *checker) sections() []*ini.Section {
	all := c.ini.Sections()
	c.checkUnnamed(all[0])
	return all[1:]
}

// checkUnnamed reports keys above the first section and a section DEFAULT,
// which the INI reader takes for the same.
func (c *checker) checkUnnamed(unnamed *ini.Section) {
	keys := unnamed.Keys()
	if len(keys) > 0 && c.lines().sections[ini.DefaultSection] > 0 {
		c.add(ini.DefaultSection, "", ini.DefaultSection, "a known section")
	}
	for _, key := range keys {
		c.add("", key.Name(), key.Value(), "a section above the first key")
	}
}

// add reports a problem at the line of the key, else of its section.
func (c *checker) add(section, key, found, want string) {
	line, ok := c.lines().keys[keyPlace{section, key}]
	if !ok {
		line = c.lines().sections[section]
	}
	c.problems = append(c.problems, Problem{c.file, line, section, key, found, want})
}

// lines returns the line index.
func (c *checker) lines() *lineIndex {
	if c.index == nil {
		c.index = indexLines(c.data)
	}
	return c.index
}
