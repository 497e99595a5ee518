package fleet

import (
	"cmp"
	"slices"
)

// streamPriority is the priority of streams. Where the organisations' is the same, the
// route's decides.
type streamPriority struct {
	priority int // of the organisation, or of the route if the organisation has none
	route    int // of the route
}

func (p streamPriority) compare(o streamPriority) int {
	return cmp.Or(cmp.Compare(p.priority, o.priority), cmp.Compare(p.route, o.route))
}

// PriorityFor returns the priority of an organisation's requests of the route; 0 is the
// highest. o may be nil.
func (r *Route) PriorityFor(o *Organisation) int {
	if o != nil && o.Priority >= 0 {
		return o.Priority
	}
	return r.Priority
}

// Prioritized reports whether streams of more than one priority may be sent to a
// service.
func (d *Document) Prioritized(service string) bool { return len(d.streamPriorities[service]) > 1 }

// StreamClass returns the place of the streams of a route among the priorities of the
// service's streams; 0 is the highest. priority is that of the request, see PriorityFor.
// Among streams of the same priority, that of the route decides.
func (d *Document) StreamClass(service string, r *Route, priority int) int {
	at, _ := slices.BinarySearchFunc(d.streamPriorities[service], streamPriority{priority, r.Priority}, streamPriority.compare)
	return at
}

// findStreamPriorities returns the priorities of the streams of each service, highest
// first.
func (d *Document) findStreamPriorities() map[string][]streamPriority {
	found := make(map[string][]streamPriority)
	organisations := d.organisationsByPriority()
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Kind != Stream {
			continue
		}
		priorities := r.streamPriorities(organisations)
		for _, w := range r.Split {
			found[w.Service] = insertMissing(found[w.Service], priorities)
		}
	}
	return found
}

// insertMissing adds the priorities that are not in the ordered list.
func insertMissing(list, priorities []streamPriority) []streamPriority {
	for _, p := range priorities {
		if at, ok := slices.BinarySearchFunc(list, p, streamPriority.compare); !ok {
			list = slices.Insert(list, at, p)
		}
	}
	return list
}

// organisationsByPriority returns one organisation of each priority; nil stands for
// requests without one where the document has none.
func (d *Document) organisationsByPriority() []*Organisation {
	if len(d.Organisations) == 0 {
		return []*Organisation{nil}
	}
	var list []*Organisation
	found := make(map[int]bool)
	for i := range d.Organisations {
		if o := &d.Organisations[i]; !found[o.Priority] {
			found[o.Priority] = true
			list = append(list, o)
		}
	}
	return list
}

// streamPriorities returns the priorities that streams of the route may have.
// organisations holds one organisation of each priority.
func (r *Route) streamPriorities(organisations []*Organisation) []streamPriority {
	var list []streamPriority
	if r.Anonymous {
		list = append(list, streamPriority{r.Priority, r.Priority})
	}
	for _, o := range organisations {
		list = insertMissing(list, []streamPriority{{r.PriorityFor(o), r.Priority}})
	}
	return list
}
