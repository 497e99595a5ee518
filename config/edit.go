package config

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Kinds of sections that have a state which SetState can change.
const (
	SectionDataCentre = "data-centre"
	SectionBackend    = "backend-server"
)

// ErrNoSection is returned by SetState if the document has no such section.
var ErrNoSection = eris.New("config: no such section")

// SetState returns text with the key "state" of section [kind name] set to state.
// All other lines and all comments are preserved. It fails with ErrNoSection, or
// with a Problems if text has invalid lines.
func SetState(text []byte, kind, name, state string) ([]byte, error) {
	title := kind + " " + name
	if err := checkLines("document", text).err(); err != nil {
		return nil, err
	}
	index := indexLines(text)
	header, ok := index.sections[title]
	if !ok {
		return nil, eris.Wrapf(ErrNoSection, "set state of [%s]", title)
	}
	lines := strings.Split(string(text), "\n")
	if at, ok := index.keys[sectionKey{title, "state"}]; ok {
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

// replaceValue returns a "key = value ; comment" line with its value replaced.
func replaceValue(line, value string) string {
	head, tail, _ := strings.Cut(line, "=")
	old := stripComment(strings.TrimSpace(tail))
	before, after, _ := strings.Cut(tail, old)
	if old == "" {
		before, after = " ", ""
	}
	return head + "=" + before + value + after
}
