package admit

// Limits of recentArrivals.
const (
	maxRecentArrivals = 256 // requests
	maxArrivalParts   = 16  // parts counted per request
)

// recentArrivals holds the parts of the most recent requests.
type recentArrivals struct {
	requests [maxRecentArrivals]arrival
	next     int // index of the oldest request once the ring is full
	len      int
}

type arrival struct {
	parts [maxArrivalParts]uint64
	len   int
}

func (a *arrival) list() []uint64 { return a.parts[:a.len] }

// add adds a request and returns the parts of the one that it replaces. The
// result is valid until the next call.
func (r *recentArrivals) add(parts []uint64) (replaced arrival) {
	slot := &r.requests[r.next]
	replaced = *slot
	slot.len = copy(slot.parts[:], parts)
	r.next = (r.next + 1) % maxRecentArrivals
	r.len = min(r.len+1, maxRecentArrivals)
	return replaced
}

// count returns how many requests carry a part.
func (r *recentArrivals) count(part uint64) int {
	n := 0
	for i := range r.requests[:r.len] {
		for _, p := range r.requests[i].list() {
			if p == part {
				n++
			}
		}
	}
	return n
}
