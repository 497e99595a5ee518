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

// Patterns of names.
var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$`)
)

// Descriptions of valid names, for problems.
const (
	wantName  = "a name of lower-case letters, digits, '.', '_' and '-', at most 63 long"
	wantModel = "a model name of letters, digits, '.', '_', ':', '/' and '-'"
)

// presence states whether a key is required.
type presence bool

const (
	required presence = true
	optional presence = false
)

// section parses the keys of one section. It records which keys were read, so
// that unknown keys can be reported.
type section struct {
	c      *checker
	title  string            // text between the brackets
	name   string            // NAME of [kind NAME]; empty for a section without a name
	unread map[string]string // keys not yet read
	known  []string          // keys read so far, in order
}

// openSection returns the section for s. It clears unread and stores the keys in it,
// so that the caller can reuse one map.
func (c *checker) openSection(s *ini.Section, unread map[string]string) *section {
	clear(unread)
	for _, key := range s.Keys() {
		unread[key.Name()] = key.Value()
	}
	_, name, _ := strings.Cut(s.Name(), " ")
	return &section{c: c, title: s.Name(), name: strings.TrimSpace(name), unread: unread}
}

// emptySection returns an empty section in place of one that the file does not
// contain. Reading it reports its required keys as missing and returns the defaults
// of the others.
func (c *checker) emptySection(title string) *section {
	return &section{c: c, title: title, unread: map[string]string{}}
}

// take returns the text of a key and marks the key as read. ok is false if the key
// is absent or empty; a required key that is absent, and any key without a value,
// is reported.
func (s *section) take(key string, p presence, want string) (text string, ok bool) {
	s.known = append(s.known, key)
	text, present := s.unread[key]
	delete(s.unread, key)
	if text != "" {
		return text, true
	}
	if present || p == required {
		s.addProblem(key, "", want)
	}
	return "", false
}

func (s *section) addProblem(key, found, want string) {
	s.c.addProblem(s.title, key, found, want)
}

// reportUnknownKeys reports the keys of the section that were not read.
func (s *section) reportUnknownKeys() {
	for _, key := range slices.Sorted(maps.Keys(s.unread)) {
		s.addProblem(key, s.unread[key], "a known key: "+strings.Join(s.known, ", "))
	}
}

// match reads a text that matches pattern.
func (s *section) match(key string, p presence, pattern *regexp.Regexp, want string) string {
	text, ok := s.take(key, p, want)
	if ok && !pattern.MatchString(text) {
		s.addProblem(key, text, want)
	}
	return text
}

// ident reads a name.
func (s *section) ident(key string, p presence) string {
	return s.match(key, p, namePattern, wantName)
}

// list reads a comma-separated list of distinct names.
func (s *section) list(key string, p presence, pattern *regexp.Regexp, want string) []string {
	text, ok := s.take(key, p, want+", or several separated by commas")
	if !ok {
		return nil
	}
	var items []string
	seen := map[string]bool{}
	for _, item := range strings.Split(text, ",") {
		item = strings.TrimSpace(item)
		if !pattern.MatchString(item) || seen[item] {
			s.addProblem(key, item, want+", each listed once")
			continue
		}
		seen[item] = true
		items = append(items, item)
	}
	return items
}

// choice reads one of the given words; the first is the default.
func (s *section) choice(key string, p presence, words ...string) string {
	want := "one of " + strings.Join(words, ", ")
	text, ok := s.take(key, p, want)
	if !ok {
		return words[0]
	}
	for _, word := range words {
		if text == word {
			return text
		}
	}
	s.addProblem(key, text, want)
	return words[0]
}

// integer reads an integer from low to high, or returns fallback.
func (s *section) integer(key string, p presence, fallback, low, high int) int {
	value, err := strconv.Atoi(s.unread[key])
	good := err == nil && value >= low && value <= high
	want := ""
	if !good {
		want = fmt.Sprintf("an integer from %d to %d", low, high)
	}
	text, ok := s.take(key, p, want)
	if ok && !good {
		s.addProblem(key, text, want)
	}
	if !good {
		return fallback
	}
	return value
}

// decimal reads a number from low to high, or returns fallback.
func (s *section) decimal(key string, p presence, fallback, low, high float64) float64 {
	want := fmt.Sprintf("a number from %g to %g", low, high)
	text, ok := s.take(key, p, want)
	if !ok {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= low && value <= high) {
		s.addProblem(key, text, want)
		return fallback
	}
	return value
}

// duration reads a duration with its unit from low to high, or returns fallback.
func (s *section) duration(key string, p presence, fallback, low, high time.Duration) time.Duration {
	want := fmt.Sprintf("a duration with unit (ms, s, m or h) from %s to %s", low, high)
	text, ok := s.take(key, p, want)
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		s.addProblem(key, text, want)
		return fallback
	}
	return value
}

// rateUnits are the units of a rate, the largest first.
var rateUnits = []struct {
	suffix string
	bytes  int
}{{"GB/s", 1e9}, {"MB/s", 1e6}, {"kB/s", 1e3}}

// rate reads a rate with its unit and returns it in bytes per second. high is the
// maximum in bytes per second.
func (s *section) rate(key string, p presence, high int) int {
	want := fmt.Sprintf("a rate with unit (kB/s, MB/s or GB/s) from 1kB/s to %dMB/s", high/1e6)
	text, ok := s.take(key, p, want)
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
	s.addProblem(key, text, want)
	return 0
}

// path reads an absolute HTTP path that contains all of parts.
func (s *section) path(key string, p presence, want string, parts ...string) string {
	text, ok := s.take(key, p, want)
	if !ok {
		return ""
	}
	good := strings.HasPrefix(text, "/") && !strings.ContainsAny(text, " ?#") && !strings.Contains(text, "//")
	for _, part := range parts {
		good = good && strings.Contains(text, part)
	}
	if !good {
		s.addProblem(key, text, want)
	}
	return text
}

// address reads an IP address and port.
func (s *section) address(key string, p presence) string {
	const want = "an IP address and port, such as 127.0.0.1:7100"
	text, ok := s.take(key, p, want)
	if !ok {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		s.addProblem(key, text, want)
	}
	return text
}

// url reads an HTTP or HTTPS URL and returns it without a trailing slash.
func (s *section) url(key string, p presence) string {
	const want = "an HTTP or HTTPS URL, such as http://127.0.0.1:7000"
	text, ok := s.take(key, p, want)
	if !ok {
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		s.addProblem(key, text, want)
	}
	return strings.TrimSuffix(text, "/")
}
