package gateway

import (
	"net"
	"net/netip"

	"github.com/tinylib/msgp/msgp"

	"marjorampitch/wire"
)

// relay passes datagrams of the relay of the store's records on. It reports whether
// the datagram was one.
func (p *peers) relay(data []byte, from *net.UDPAddr) bool {
	if len(data) == 0 {
		return false
	}
	var message msgp.Unmarshaler
	var request wire.LogRequest
	var answer wire.LogAnswer
	switch data[0] {
	case wire.KindLogRequest:
		message = &request
	case wire.KindLogAnswer:
		message = &answer
	default:
		return false
	}
	if _, err := message.UnmarshalMsg(data[1:]); err != nil {
		p.g.opts.Log.Warn("datagram-refused", "from", from, "err", err)
		return true
	}
	sender := netip.AddrPortFrom(from.AddrPort().Addr().Unmap(), uint16(from.Port))
	if data[0] == wire.KindLogRequest {
		p.g.opts.Relay.HandleRequest(&request, sender)
	} else {
		p.g.opts.Relay.HandleAnswer(&answer, sender)
	}
	return true
}

// sendTo sends one datagram.
func (p *peers) sendTo(data []byte, to netip.AddrPort) {
	p.conn.WriteToUDPAddrPort(data, to) //nolint:errcheck // a lost datagram leads to a read of the store
}
