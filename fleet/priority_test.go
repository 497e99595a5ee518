package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func streamRoute(name string, priority int, services ...string) Route {
	r := Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: Stream, Priority: priority}
	for _, s := range services {
		r.Split = append(r.Split, WeightedService{s, 1})
	}
	return r
}

// An organisation's priority goes before the route's, which decides among those of the
// same.
func TestStreamClass(t *testing.T) {
	d := &Document{
		Routes: []Route{streamRoute("a", 0, "s"), streamRoute("b", 2, "s", "other"), streamRoute("c", 1, "s")},
		Organisations: []Organisation{
			{Name: "usual", Keys: []string{"k"}, Priority: 1}, {Name: "first", Keys: []string{"l"}, Priority: 0}, {Name: "none", Keys: []string{"m"}, Priority: -1},
		},
	}
	d.Index()
	a, b, c := &d.Routes[0], &d.Routes[1], &d.Routes[2]
	usual, first, none := d.Organisation("k"), d.Organisation("l"), d.Organisation("m")
	require.Equal(t, []int{1, 0, 2, 2}, []int{b.PriorityFor(usual), b.PriorityFor(first), b.PriorityFor(none), b.PriorityFor(nil)})
	class := func(r *Route, o *Organisation) int { return d.StreamClass("s", r, r.PriorityFor(o)) }
	require.Equal(t, []int{0, 1, 2}, []int{class(a, first), class(c, first), class(b, first)})
	require.Equal(t, []int{3, 4, 5}, []int{class(a, usual), class(c, usual), class(b, usual)})
	require.Equal(t, []int{0, 4, 6}, []int{class(a, none), class(c, none), class(b, none)})
	require.True(t, d.Prioritized("s"))
	require.True(t, d.Prioritized("other"))
}

// Only the streams of a service count.
func TestPrioritized(t *testing.T) {
	plain := streamRoute("b", 3, "s")
	plain.Kind = Idempotent
	d := &Document{Routes: []Route{streamRoute("a", 1, "s"), plain, streamRoute("c", 2, "other"), streamRoute("d", 1, "s")}}
	d.Index()
	require.False(t, d.Prioritized("s"))
	require.False(t, d.Prioritized("unknown"))
	require.Zero(t, d.StreamClass("s", &d.Routes[0], 1))

	d.Organisations = []Organisation{{Name: "o", Keys: []string{"k"}, Priority: 0}, {Name: "p", Keys: []string{"l"}, Priority: 0}}
	d.Index()
	require.False(t, d.Prioritized("s"), "all organisations have the same")
	d.Routes[0].Anonymous = true
	d.Index()
	require.True(t, d.Prioritized("s"), "requests without a key have the route's")
}
