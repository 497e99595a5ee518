package config

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Forms of names.
var (
	nameForm  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	modelForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$`)
)

// Descriptions of what a value must look like.
const (
	wantName  = "a name of lower-case letters, digits, '.', '_' and '-', at most 63 long"
	wantModel = "a model name of letters, digits, '.', '_', ':', '/' and '-'"
)

// need says whether a key must be present.
type need bool

const (
	required need = true
	optional need = false
)

// section reads the keys of one section and remembers which it knows.
type section struct {
	c     *checker
	title string            // as between the brackets
	name  string            // NAME of [kind NAME]; empty for plain sections
	raw   map[string]string // keys not yet read
	known []string          // keys asked for, in order
}

// open reads a section of the file; raw is emptied and used for its keys.
func (c *checker) open(s *ini.Section, raw map[string]string) *section {
	clear(raw)
	for _, key := range s.Keys() {
		raw[key.Name()] = key.Value()
	}
	_, name, _ := strings.Cut(s.Name(), " ")
	return &section{c: c, title: s.Name(), name: strings.TrimSpace(name), raw: raw}
}

// absent opens a section that the file does not have; its required keys are
// reported and the others have their defaults.
func (c *checker) absent(title string) *section {
	return &section{c: c, title: title, raw: map[string]string{}}
}

// take returns the text of a key; ok is false when it is absent or empty.
func (s *section) take(key string, n need, want string) (text string, ok bool) {
	s.known = append(s.known, key)
	text, present := s.raw[key]
	delete(s.raw, key)
	if text != "" {
		return text, true
	}
	if present || n == required {
		s.bad(key, "", want)
	}
	return "", false
}

func (s *section) bad(key, found, want string) {
	s.c.add(s.title, key, found, want)
}

// close reports the keys that nothing asked for.
func (s *section) close() {
	for _, key := range slices.Sorted(maps.Keys(s.raw)) {
		s.bad(key, s.raw[key], "a known key: "+strings.Join(s.known, ", "))
	}
}

// match reads a text of the given form.
func (s *section) match(key string, n need, form *regexp.Regexp, want string) string {
	text, ok := s.take(key, n, want)
	if ok && !form.MatchString(text) {
		s.bad(key, text, want)
	}
	return text
}

// ident reads a name.
func (s *section) ident(key string, n need) string {
	return s.match(key, n, nameForm, wantName)
}

// list reads names divided by commas.
func (s *section) list(key string, n need, form *regexp.Regexp, want string) []string {
	text, ok := s.take(key, n, want+", several divided by commas")
	if !ok {
		return nil
	}
	var items []string
	seen := map[string]bool{}
	for _, item := range strings.Split(text, ",") {
		item = strings.TrimSpace(item)
		if !form.MatchString(item) || seen[item] {
			s.bad(key, item, want+", each once")
			continue
		}
		seen[item] = true
		items = append(items, item)
	}
	return items
}

// choice reads one of several words; the first is the default.
func (s *section) choice(key string, n need, words ...string) string {
	want := "one of " + strings.Join(words, ", ")
	text, ok := s.take(key, n, want)
	if !ok {
		return words[0]
	}
	for _, word := range words {
		if text == word {
			return text
		}
	}
	s.bad(key, text, want)
	return words[0]
}

// integer reads a whole number between low and high.
func (s *section) integer(key string, n need, fallback, low, high int) int {
	value, err := strconv.Atoi(s.raw[key])
	good := err == nil && value >= low && value <= high
	want := ""
	if !good {
		want = fmt.Sprintf("a whole number from %d to %d", low, high)
	}
	text, ok := s.take(key, n, want)
	if ok && !good {
		s.bad(key, text, want)
	}
	if !good {
		return fallback
	}
	return value
}

// decimal reads a number between low and high.
func (s *section) decimal(key string, n need, fallback, low, high float64) float64 {
	want := fmt.Sprintf("a number from %g to %g", low, high)
	text, ok := s.take(key, n, want)
	if !ok {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= low && value <= high) {
		s.bad(key, text, want)
		return fallback
	}
	return value
}

// duration reads a time with its unit, between low and high.
func (s *section) duration(key string, n need, fallback, low, high time.Duration) time.Duration {
	want := fmt.Sprintf("a time with unit (ms, s, m or h) from %s to %s", low, high)
	text, ok := s.take(key, n, want)
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		s.bad(key, text, want)
		return fallback
	}
	return value
}

// rateUnits are the units of a rate, the longest suffix first.
var rateUnits = []struct {
	suffix string
	bytes  int
}{{"GB/s", 1e9}, {"MB/s", 1e6}, {"kB/s", 1e3}}

// rate reads bytes a second with a unit.
func (s *section) rate(key string, n need, high int) int {
	want := fmt.Sprintf("a rate with unit (kB/s, MB/s or GB/s) from 1kB/s to %dMB/s", high/1e6)
	text, ok := s.take(key, n, want)
	if !ok {
		return 0
	}
	for _, unit := range rateUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.Atoi(strings.TrimSpace(number))
		if err == nil && value > 0 && value <= high/unit.bytes {
			return value * unit.bytes
		}
	}
	s.bad(key, text, want)
	return 0
}

// path reads an absolute HTTP path that contains every one of parts.
func (s *section) path(key string, n need, want string, parts ...string) string {
	text, ok := s.take(key, n, want)
	if !ok {
		return ""
	}
	good := strings.HasPrefix(text, "/") && !strings.ContainsAny(text, " ?#") && !strings.Contains(text, "//")
	for _, part := range parts {
		good = good && strings.Contains(text, part)
	}
	if !good {
		s.bad(key, text, want)
	}
	return text
}

// address reads an IP number and port.
func (s *section) address(key string, n need) string {
	const want = "an IP number and port, such as 127.0.0.1:7100"
	text, ok := s.take(key, n, want)
	if !ok {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		s.bad(key, text, want)
	}
	return text
}

// link reads an HTTP URL.
func (s *section) link(key string, n need) string {
	const want = "a URL, such as http://127.0.0.1:7000"
	text, ok := s.take(key, n, want)
	if !ok {
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		s.bad(key, text, want)
	}
	return strings.TrimSuffix(text, "/")
}
