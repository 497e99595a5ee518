package config

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Kinds of sections whose state operators change.
const (
	SectionDataCentre = "data-centre"
	SectionBackend    = "backend-server"
)

// ErrNoSection says that the text has no such section.
var ErrNoSection = eris.New("config: no such section")

// SetState returns text with "state = state" in section [kind name]. All
// other lines stay as they are, and so do comments. Errors: ErrNoSection, or
// a Problems when the text can't be read.
func SetState(text []byte, kind, name, state string) ([]byte, error) {
	title := kind + " " + name
	if err := checkLines("document", text).err(); err != nil {
		return nil, err
	}
	index := indexLines(text)
	header, ok := index.sections[title]
	if !ok {
		return nil, eris.Wrap(ErrNoSection, title)
	}
	lines := strings.Split(string(text), "\n")
	if at, ok := index.keys[keyPlace{title, "state"}]; ok {
		lines[at-1] = replaceValue(lines[at-1], state)
		return []byte(strings.Join(lines, "\n")), nil
	}
	ending := ""
	if strings.HasSuffix(lines[header-1], "\r") {
		ending = "\r"
	}
	added := fmt.Sprintf("state = %s%s", state, ending)
	lines = append(lines[:header], append([]string{added}, lines[header:]...)...)
	return []byte(strings.Join(lines, "\n")), nil
}

// replaceValue changes the value of a "key = value ; comment" line.
func replaceValue(line, value string) string {
	head, tail, _ := strings.Cut(line, "=")
	old := stripComment(strings.TrimSpace(tail))
	before, after, _ := strings.Cut(tail, old)
	if old == "" {
		before, after = " ", ""
	}
	return head + "=" + before + value + after
}
