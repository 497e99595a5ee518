package config

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// lineKind is the kind of a line of an INI file.
type lineKind uint8

const (
	lineBlank lineKind = iota // empty or a comment
	lineSection
	lineKey
	lineInvalid
)

// iniLine is one scanned line of a file.
type iniLine struct {
	kind    lineKind
	section string // section that the line starts or belongs to
	key     string
	value   string // without a trailing comment
	want    string // what was expected instead; for lineInvalid
}

// sectionKey identifies a key of a section.
type sectionKey struct {
	section string
	key     string
}

// lineIndex maps sections and keys to the line of their first occurrence, counted
// from 1.
type lineIndex struct {
	sections map[string]int
	keys     map[sectionKey]int
}

// scanLine classifies one line. section is the section of the preceding line.
func scanLine(text, section string) iniLine {
	trimmed := strings.TrimSpace(text)
	if trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';' {
		return iniLine{kind: lineBlank, section: section}
	}
	if !utf8.ValidString(trimmed) || strings.ContainsFunc(strings.ReplaceAll(trimmed, "\t", " "), unicode.IsControl) {
		return iniLine{kind: lineInvalid, section: section, want: "UTF-8 text without control characters"}
	}
	if trimmed[0] == '[' {
		return scanHeader(trimmed, section)
	}
	key, value, found := strings.Cut(trimmed, "=")
	key = strings.TrimSpace(key)
	if !found || key == "" {
		return iniLine{kind: lineInvalid, section: section, want: "key = value, [section] or a comment"}
	}
	value = stripComment(strings.TrimSpace(value))
	if strings.ContainsAny(key, "\"'`") || strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'") {
		return iniLine{kind: lineInvalid, section: section, key: key, want: "names and values without quotes"}
	}
	return iniLine{kind: lineKey, section: section, key: key, value: value}
}

// scanHeader classifies a line that begins with "[".
func scanHeader(trimmed, section string) iniLine {
	end := strings.LastIndexByte(stripComment(trimmed), ']')
	rest := ""
	if end > 0 {
		rest = strings.TrimSpace(stripComment(trimmed)[end+1:])
	}
	if end < 0 || rest != "" || strings.ContainsAny(trimmed[1:max(end, 1)], "[]#;") {
		return iniLine{kind: lineInvalid, section: section, want: "[section]"}
	}
	return iniLine{kind: lineSection, section: strings.TrimSpace(trimmed[1:end])}
}

// stripComment removes a trailing comment. A comment begins with "#" or ";" at
// the start of value or after a space.
func stripComment(value string) string {
	for i := 0; i < len(value); i++ {
		comment := value[i] == '#' || value[i] == ';'
		if comment && (i == 0 || value[i-1] == ' ') {
			return strings.TrimSpace(value[:i])
		}
	}
	return value
}

// eachLine calls visit for every line of data, numbered from 1.
func eachLine(data []byte, visit func(number int, text string, line iniLine)) {
	section := ""
	number := 0
	for text := range strings.SplitSeq(string(data), "\n") {
		number++
		line := scanLine(text, section)
		section = line.section
		visit(number, text, line)
	}
}

// indexLines returns the index of the sections and keys of data.
func indexLines(data []byte) *lineIndex {
	index := &lineIndex{sections: map[string]int{}, keys: map[sectionKey]int{}}
	eachLine(data, func(number int, _ string, line iniLine) {
		id := sectionKey{line.section, line.key}
		switch {
		case line.kind == lineSection && index.sections[line.section] == 0:
			index.sections[line.section] = number
		case line.kind == lineKey && index.keys[id] == 0:
			index.keys[id] = number
		}
	})
	return index
}

// checkLines reports invalid lines, duplicate sections, and duplicate keys within
// a section. In a duplicate section, a key is compared only with the keys since
// the latest header.
func checkLines(file string, data []byte) Problems {
	var problems Problems
	sections := map[string]bool{}
	keys := map[string]bool{} // of the current section
	eachLine(data, func(number int, text string, line iniLine) {
		switch line.kind {
		case lineInvalid:
			problems = append(problems, Problem{file, number, line.section, line.key, strings.TrimSpace(text), line.want})
		case lineSection:
			clear(keys)
			if sections[line.section] {
				problems = append(problems, Problem{file, number, line.section, "", line.section, "a section name that occurs once"})
			}
			sections[line.section] = true
		case lineKey:
			if keys[line.key] {
				problems = append(problems, Problem{file, number, line.section, line.key, line.value, "a key that occurs once in its section"})
			}
			keys[line.key] = true
		}
	})
	return problems
}
