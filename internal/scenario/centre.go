package scenario

import (
	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
	"marjorampitch/internal/relay"
)

// centre is a data centre: it has its own view of the instance list, in which
// every process stands at the address of a relay from this data centre to it.
type centre struct {
	name   string
	list   *backingtest.InstanceList
	server *server
}

// centre returns the data centre with this name, made on first use.
func (w *World) centre(name string) (*centre, error) {
	if c, ok := w.centres[name]; ok {
		return c, nil
	}
	c := &centre{name: name, list: backingtest.NewInstanceList()}
	c.server = newServer(c.list.Handler())
	if err := c.server.start(); err != nil {
		return nil, err
	}
	w.centres[name] = c
	for _, d := range w.daemons {
		if err := w.showIn(c, d, backing.InstanceLive); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// relayName names the relay from a data centre to a daemon.
func relayName(c *centre, d *daemon) string { return d.name + "@" + c.name }

// show puts a daemon on the instance list of every data centre.
func (w *World) show(d *daemon, state backing.InstanceState) error {
	for _, c := range w.centres {
		if err := w.showIn(c, d, state); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) showIn(c *centre, d *daemon, state backing.InstanceState) error {
	r, ok := w.relays[relayName(c, d)]
	if !ok {
		var err error
		if r, err = w.addRelay(relayName(c, d), d.listen); err != nil {
			return err
		}
	}
	c.list.Put(backing.Instance{
		Name:       d.name,
		Address:    r.Address(),
		DataCentre: d.dataCentre,
		Role:       d.role,
		State:      state,
	})
	return nil
}

// remove takes a daemon off the instance list of every data centre.
func (w *World) remove(d *daemon) {
	for _, c := range w.centres {
		c.list.Remove(d.name)
	}
}

// relaysOf returns the relays that lead to a daemon from all data centres.
func (w *World) relaysOf(d *daemon) []*relay.Relay {
	var out []*relay.Relay
	for _, c := range w.centres {
		out = append(out, w.relays[relayName(c, d)])
	}
	return out
}

// border returns the relays that cross the border of a data centre, and those
// of its daemons to the log service.
func (w *World) border(name string) []*relay.Relay {
	var out []*relay.Relay
	for _, d := range w.daemons {
		if d.dataCentre == name {
			out = append(out, w.relays[d.name+".log"])
		}
		for _, c := range w.centres {
			if (c.name == name) != (d.dataCentre == name) {
				out = append(out, w.relays[relayName(c, d)])
			}
		}
	}
	return out
}
