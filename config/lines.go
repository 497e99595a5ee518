package config

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// lineKind says what one line of an INI file is.
type lineKind uint8

const (
	lineBlank lineKind = iota // empty or a comment
	lineSection
	lineKey
	lineBad
)

// iniLine is one line of a file.
type iniLine struct {
	kind    lineKind
	section string // section that the line opens or belongs to
	key     string
	value   string // without a trailing comment
	want    string // for lineBad
}

// keyPlace identifies a key of a section.
type keyPlace struct {
	section string
	key     string
}

// lineIndex tells on which line a section or key first stands.
type lineIndex struct {
	sections map[string]int
	keys     map[keyPlace]int
}

// scanLine classifies one line; section is the one that is open before it.
func scanLine(text, section string) iniLine {
	trimmed := strings.TrimSpace(text)
	if trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';' {
		return iniLine{kind: lineBlank, section: section}
	}
	if !utf8.ValidString(trimmed) || strings.ContainsFunc(strings.ReplaceAll(trimmed, "\t", " "), unicode.IsControl) {
		return iniLine{kind: lineBad, section: section, want: "UTF-8 text without control characters"}
	}
	if trimmed[0] == '[' {
		return scanHeader(trimmed, section)
	}
	key, value, found := strings.Cut(trimmed, "=")
	key = strings.TrimSpace(key)
	if !found || key == "" {
		return iniLine{kind: lineBad, section: section, want: "key = value, [section] or a comment"}
	}
	value = stripComment(strings.TrimSpace(value))
	if strings.ContainsAny(key, "\"'`") || strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'") {
		return iniLine{kind: lineBad, section: section, key: key, want: "names and values without quotes"}
	}
	return iniLine{kind: lineKey, section: section, key: key, value: value}
}

// scanHeader reads "[name]" and what follows it.
func scanHeader(trimmed, section string) iniLine {
	end := strings.LastIndexByte(stripComment(trimmed), ']')
	rest := ""
	if end > 0 {
		rest = strings.TrimSpace(stripComment(trimmed)[end+1:])
	}
	if end < 0 || rest != "" || strings.ContainsAny(trimmed[1:max(end, 1)], "[]#;") {
		return iniLine{kind: lineBad, section: section, want: "[section]"}
	}
	return iniLine{kind: lineSection, section: strings.TrimSpace(trimmed[1:end])}
}

// stripComment cuts a comment that begins with " #" or " ;".
func stripComment(value string) string {
	for i := 0; i < len(value); i++ {
		comment := value[i] == '#' || value[i] == ';'
		if comment && (i == 0 || value[i-1] == ' ') {
			return strings.TrimSpace(value[:i])
		}
	}
	return value
}

// eachLine calls visit with every line of data, numbered from 1.
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

// indexLines finds every section and key of data.
func indexLines(data []byte) *lineIndex {
	index := &lineIndex{sections: map[string]int{}, keys: map[keyPlace]int{}}
	eachLine(data, func(number int, _ string, line iniLine) {
		place := keyPlace{line.section, line.key}
		switch {
		case line.kind == lineSection && index.sections[line.section] == 0:
			index.sections[line.section] = number
		case line.kind == lineKey && index.keys[place] == 0:
			index.keys[place] = number
		}
	})
	return index
}

// checkLines reports the lines that are neither section nor key nor blank,
// and sections and keys that stand twice. The keys of a section that stands
// twice are held against those of its last part only.
func checkLines(file string, data []byte) Problems {
	var problems Problems
	sections := map[string]bool{}
	keys := map[string]bool{} // of the open section
	eachLine(data, func(number int, text string, line iniLine) {
		switch line.kind {
		case lineBad:
			problems = append(problems, Problem{file, number, line.section, line.key, strings.TrimSpace(text), line.want})
		case lineSection:
			clear(keys)
			if sections[line.section] {
				problems = append(problems, Problem{file, number, line.section, "", line.section, "each section once"})
			}
			sections[line.section] = true
		case lineKey:
			if keys[line.key] {
				problems = append(problems, Problem{file, number, line.section, line.key, line.value, "each key once in a section"})
			}
			keys[line.key] = true
		}
	})
	return problems
}
