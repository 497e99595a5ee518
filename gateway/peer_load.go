package gateway

import "marjorampitch/wire"

// Bounds of the load of a peer. Values beyond them come from a malformed datagram and
// would keep the group closed.
const (
	maxPeerStreams = 1 << 20
	maxPeerRate    = 1e6 // requests per second
)

// validLoad reports whether a peer can have this load; no comparison holds for NaN.
func validLoad(x *wire.GroupLoad) bool {
	return x.Running >= 0 && x.Running <= maxPeerStreams && x.Rate >= 0 && x.Rate <= maxPeerRate
}
