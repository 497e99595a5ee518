package scenario

import (
	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
	"marjorampitch/internal/relay"
)

// centre is a data centre. It has its own copy of the instance list, in which the
// address of every process is that of a relay from this data centre to it.
type centre struct {
	name   string
	list   *backingtest.InstanceList
	server *server
}

// centre returns the data centre with this name and creates it on first use.
func (tb *Testbed) centre(name string) (*centre, error) {
	if c, ok := tb.centres[name]; ok {
		return c, nil
	}
	c := &centre{name: name, list: backingtest.NewInstanceList()}
	c.server = newServer(c.list.Handler())
	if err := c.server.start(); err != nil {
		return nil, err
	}
	tb.centres[name] = c
	for _, d := range tb.daemons {
		if err := tb.registerIn(c, d, backing.InstanceLive); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// relayName returns the name of the relay from a data centre to a daemon.
func relayName(c *centre, d *daemon) string { return d.name + "@" + c.name }

// register puts a daemon on the instance list of every data centre.
func (tb *Testbed) register(d *daemon, state backing.InstanceState) error {
	for _, c := range tb.centres {
		if err := tb.registerIn(c, d, state); err != nil {
			return err
		}
	}
	return nil
}

// registerIn puts a daemon on the instance list of one data centre.
func (tb *Testbed) registerIn(c *centre, d *daemon, state backing.InstanceState) error {
	r, ok := tb.relays[relayName(c, d)]
	if !ok {
		var err error
		if r, err = tb.addRelay(relayName(c, d), d.listen); err != nil {
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

// deregister removes a daemon from the instance list of every data centre.
func (tb *Testbed) deregister(d *daemon) {
	for _, c := range tb.centres {
		c.list.Remove(d.name)
	}
}

// relaysOf returns the relays from all data centres to a daemon.
func (tb *Testbed) relaysOf(d *daemon) []*relay.Relay {
	var out []*relay.Relay
	for _, c := range tb.centres {
		out = append(out, tb.relays[relayName(c, d)])
	}
	return out
}

// borderRelays returns the relays between a data centre and the others, and those
// from its daemons to the log service.
func (tb *Testbed) borderRelays(name string) []*relay.Relay {
	var out []*relay.Relay
	for _, d := range tb.daemons {
		if d.dataCentre == name {
			out = append(out, tb.relays[d.name+".log"])
		}
		for _, c := range tb.centres {
			if (c.name == name) != (d.dataCentre == name) {
				out = append(out, tb.relays[relayName(c, d)])
			}
		}
	}
	return out
}
