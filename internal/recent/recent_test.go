package recent

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/api"
)

func TestLastKeepsTheNewest(t *testing.T) {
	var l RefusalBuffer
	require.Empty(t, l.Last())
	for i := range capacity + 3 {
		l.Add(strconv.Itoa(i), api.NewError(api.Overloaded, ""))
	}
	last := l.Last()
	require.Len(t, last, capacity)
	require.Equal(t, strconv.Itoa(capacity+2), last[0].RequestID)
	require.Equal(t, "3", last[capacity-1].RequestID)
}
