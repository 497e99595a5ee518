package group

import "fmt"

// String describes the state of the simulation for failure messages.
func (sim *simulation) String() string {
	s := ""
	for r, e := range sim.engines {
		k := sim.sides[r].rank
		s += fmt.Sprintf("rank %d: engine %+v running=%t sidecar fence=%d sealed=%t seq=%d command=%d staging=%v committed=%d\n",
			r, e.state(), e.running, k.fence, k.sealed, k.seq, k.command, k.staging, k.committed)
	}
	for i, c := range sim.coords {
		if c != nil {
			m := c.machine
			s += fmt.Sprintf("coordinator %d: phase=%d fence=%d seq=%d remaining=%d kind=%d claiming=%t\n",
				i, m.phase, m.fence, m.seq, m.round.remaining, m.round.order.Kind, c.claiming)
		}
	}
	return s
}
