package recent

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
)

func TestLastKeepsTheNewest(t *testing.T) {
	var l Log
	require.Empty(t, l.Last())
	for i := range size + 3 {
		l.Add(strconv.Itoa(i), api.NewError(api.Overloaded, ""))
	}
	last := l.Last()
	require.Len(t, last, size)
	require.Equal(t, strconv.Itoa(size+2), last[0].RequestID)
	require.Equal(t, "3", last[size-1].RequestID)
}
