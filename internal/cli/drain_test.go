package cli

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"marjorampitch/config"
)

// A change is refused if it takes the last backend server from a pool, but not
// because another pool has had none before.
func TestDrainChecksOnlyThePoolsThatItEmpties(t *testing.T) {
	text, err := os.ReadFile("../../examples/bryllupslyd.ini")
	require.NoError(t, err)
	doc, err := config.ParseDocument("example", text)
	require.NoError(t, err)
	byPool := map[string][]string{}
	for _, b := range doc.Backends {
		byPool[b.Pool] = append(byPool[b.Pool], b.Name)
	}
	require.Len(t, byPool, 2)
	leave := func(name string) stateChange {
		return stateChange{kind: "backend-server", name: name, state: "leaving"}
	}
	apply := func(c stateChange) (before, after []byte) {
		before = text
		after, err = config.SetState(text, c.kind, c.name, c.state)
		require.NoError(t, err)
		text = after
		return before, after
	}
	var emptied string
	for pool, names := range byPool {
		if emptied != "" {
			first := leave(names[0])
			before, after := apply(first)
			require.NoError(t, checkPoolsAvailable(before, after, first), "pool %s was empty before", emptied)
			break
		}
		emptied = pool
		for i, name := range names {
			c := leave(name)
			before, after := apply(c)
			err := checkPoolsAvailable(before, after, c)
			if i < len(names)-1 {
				require.NoError(t, err)
				continue
			}
			require.ErrorContains(t, err, "pool "+pool)
			c.force = true
			require.NoError(t, checkPoolsAvailable(before, after, c))
		}
	}
}
