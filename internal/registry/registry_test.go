package registry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRegistry(t *testing.T) {
	r := New[int]("number")
	r.Register("two", 2)
	r.Register("one", 1)
	require.Equal(t, []string{"one", "two"}, r.Names())
	value, ok := r.Lookup("two")
	require.True(t, ok)
	require.Equal(t, 2, value)
	_, ok = r.Lookup("three")
	require.False(t, ok)
	require.PanicsWithValue(t, "number registered twice: one", func() { r.Register("one", 3) })
}
