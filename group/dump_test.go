package group

import "fmt"

// String describes the world when a run has failed.
func (w *world) String() string {
	s := ""
	for r, e := range w.engines {
		k := w.sides[r].rank
		s += fmt.Sprintf("rank %d: engine %+v running=%t side fence=%d sealed=%t seq=%d running=%d staging=%v committed=%d\n",
			r, e.state(), e.running, k.fence, k.sealed, k.seq, k.running, k.staging, k.committed)
	}
	for i, c := range w.coords {
		if c != nil {
			m := c.machine
			s += fmt.Sprintf("coordinator %d: phase=%d fence=%d seq=%d left=%d kind=%d claiming=%t\n",
				i, m.phase, m.fence, m.seq, m.round.left, m.round.order.Kind, c.claiming)
		}
	}
	return s
}
