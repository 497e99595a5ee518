package entry

import (
	"net"

	"marjorampitch/wire"
)

// ServePeers serves operators and other processes on ln until ln is closed. It
// returns the error of ln.Accept.
func (s *Server) ServePeers(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			if _, err := wire.Accept(nc, s.node.Hello(), peerHandler{s}, s.node); err != nil {
				s.opt.Log.Warn("peer-refused", "peer", nc.RemoteAddr(), "err", err)
			}
		}()
	}
}

// peerHandler handles inbound connections.
type peerHandler struct{ server *Server }

// Handle implements wire.Handler.
func (p peerHandler) Handle(c *wire.Conn, m wire.Message) { p.server.node.HandleControl(c, m) }

// Closed implements wire.Handler.
func (p peerHandler) Closed(c *wire.Conn, _ error) { p.server.node.ConnClosed(c) }
