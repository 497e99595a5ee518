package fleet

// Limits of an EntryOrder.
const (
	// maxLateBeats is the number of heartbeats by which an entry may be late. One that is
	// further behind shows that the higher number was not the server's.
	maxLateBeats = 100
	// maxRemovedEntries is the number of removed entries that are remembered.
	maxRemovedEntries = 1024
)

// EntryOrder tells which entries of backend servers are older than ones seen before. The
// store may carry out a write seconds after a later one, or come back from a copy with
// older entries. Its zero value has seen none. It is not safe for concurrent use.
type EntryOrder struct {
	newest  map[string]beat // by id
	removed []string        // ids of removed entries, in the order of their removal
}

// beat is the newest heartbeat seen of a server.
type beat struct {
	startedAt, seq int64
	removed        bool // the entry has been removed since
}

// Outdated records an entry and reports whether a later one of the same incarnation has
// been seen before, which then counts. Entries that do not state their incarnation are
// never outdated.
func (o *EntryOrder) Outdated(s *Server) bool {
	n, seen := o.newest[s.ID]
	if seen && s.StartedAt != 0 && s.StartedAt == n.startedAt && s.Seq < n.seq && n.seq-s.Seq <= maxLateBeats {
		return true
	}
	if o.newest == nil {
		o.newest = make(map[string]beat)
	}
	o.newest[s.ID] = beat{startedAt: s.StartedAt, seq: s.Seq}
	return false
}

// Removed records that an entry has been removed. An older one that is written late must
// not bring its server back.
func (o *EntryOrder) Removed(id string) {
	n, seen := o.newest[id]
	if !seen || n.removed {
		return
	}
	n.removed = true
	o.newest[id] = n
	o.removed = append(o.removed, id)
	if len(o.removed) <= maxRemovedEntries {
		return
	}
	if oldest := o.removed[0]; o.newest[oldest].removed {
		delete(o.newest, oldest)
	}
	o.removed = o.removed[1:]
}

// Reset forgets all entries.
func (o *EntryOrder) Reset() { *o = EntryOrder{} }
