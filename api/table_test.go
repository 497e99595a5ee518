package api

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tableRow returns the row of docs/RESULT-CODES.md for a code.
func tableRow(c Code) string {
	info := c.Info()
	retry := "-"
	if info.Retry > 0 {
		retry = info.Retry.Round(time.Second).String()
	}
	return fmt.Sprintf("| %d | %s | %d | %s | %s | %s |", int(c), info.Name, info.Status, info.Ran, retry, info.Meaning)
}

// TestResultCodesPage checks that docs/RESULT-CODES.md has exactly one row per code
// with the values of its Info.
func TestResultCodesPage(t *testing.T) {
	page, err := os.ReadFile("../docs/RESULT-CODES.md")
	require.NoError(t, err)
	var want, got []string
	for _, c := range Codes() {
		want = append(want, tableRow(c))
	}
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			got = append(got, strings.TrimSpace(line))
		}
	}
	require.Equal(t, want, got)
}

func TestErrorDefaults(t *testing.T) {
	e := NewError(Overloaded, "full")
	require.Equal(t, NotRun, e.Ran)
	require.Equal(t, 2*time.Second, e.RetryAfter)
	require.Equal(t, "201 overloaded: full", e.Error())
	require.Equal(t, "internal", Code(12345).Info().Name)
}

func TestParsePriority(t *testing.T) {
	for text, want := range map[string]Priority{"": PriorityNormal, "live": PriorityLive, "batch": PriorityBatch} {
		got, ok := ParsePriority(text)
		require.True(t, ok)
		require.Equal(t, want, got)
	}
	_, ok := ParsePriority("urgent")
	require.False(t, ok)
}
