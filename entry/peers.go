package entry

import (
	"net"

	"marjorampitch/wire"
)

// ServePeers answers operators and other processes on ln until it is closed.
func (s *Server) ServePeers(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			if _, err := wire.Accept(nc, s.node.Hello(), peer{s}, s.node); err != nil {
				s.opt.Log.Warn("peer-refused", "peer", nc.RemoteAddr(), "err", err)
			}
		}()
	}
}

// peer handles connections that others opened to the entry.
type peer struct{ server *Server }

// Handle implements wire.Handler.
func (p peer) Handle(c *wire.Conn, m wire.Message) { p.server.node.Control(c, m) }

// Closed implements wire.Handler.
func (p peer) Closed(c *wire.Conn, _ error) { p.server.node.Gone(c) }
