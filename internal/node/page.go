package node

import (
	"fmt"
	"io"
)

// Page is the part of the status page that front proxies and sidecars share.
type Page struct {
	Instance      string `json:"instance"`
	DataCentre    string `json:"data_centre"`
	Service       string `json:"service"`
	Incarnation   string `json:"incarnation"`
	ConfigOffset  int64  `json:"config_offset"` // -1 if there is no document yet
	ConfigVersion uint64 `json:"config_version"`
	Current       bool   `json:"current"`
	Leaving       bool   `json:"leaving"`
}

// Page returns the current state of the process for its status page.
func (n *Node) Page() Page {
	p := Page{
		Instance:     n.hello.Instance,
		DataCentre:   n.hello.DataCentre,
		Service:      n.hello.Service,
		Incarnation:  n.hello.Incarnation,
		ConfigOffset: -1,
		Current:      n.config.Current(),
		Leaving:      n.Leaving(),
	}
	if doc := n.config.Document(); doc != nil {
		p.ConfigOffset = doc.Offset
		p.ConfigVersion = doc.Version
	}
	return p
}

// WriteText writes the page as lines with tab-separated columns.
func (p Page) WriteText(w io.Writer, role string) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", role, p.Instance, p.DataCentre, p.Service)
	fmt.Fprintf(w, "config\tversion %d\toffset %d\tcurrent %t\tleaving %t\n", p.ConfigVersion, p.ConfigOffset, p.Current, p.Leaving)
}
