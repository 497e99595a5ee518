package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"marjorampitch/wire"
)

// datagram encodes a message as a peer would.
func datagram(t *testing.T, kind byte, m msgp.Marshaler) []byte {
	data, err := m.MarshalMsg([]byte{kind})
	require.NoError(t, err)
	return data
}

// extremeDatagrams are datagrams that can be decoded and make no sense.
func extremeDatagrams(t *testing.T) [][]byte {
	var list [][]byte
	for _, n := range []int{math.MinInt, -1, math.MaxInt} {
		for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
			list = append(list,
				datagram(t, wire.KindGatewayLoad, &wire.GatewayLoad{Instance: "p", Groups: []wire.GroupLoad{
					{Service: "s", Group: defaultGroup, Running: n, Rate: x}, {Service: "s", Group: "unknown", Running: n, Rate: x},
				}}),
				datagram(t, wire.KindLimitReport, &wire.LimitReport{Instance: "p", SentAt: int64(n), Limits: []wire.ServerLimit{
					{Server: uint64(n), Rate: x, Limited: true, Age: int64(n), Sent: uint64(n)},
				}}))
		}
		for _, kind := range []byte{wire.KindPartEvidence, wire.KindRequestEvidence} {
			list = append(list, datagram(t, kind, &wire.PartReport{Instance: "p", Incarnation: int64(n), SentAt: int64(n), Evidence: []wire.PartEvidence{
				{Part: 1, Crash: uint64(n), SentAge: int64(n), BrokeAge: int64(n), InUse: true}, {Part: 1, Crash: 2, Cleared: true},
			}}))
		}
		list = append(list, datagram(t, wire.KindGroupState, &wire.GroupState{Group: "unknown", Epoch: int64(n), Open: false}))
	}
	return list
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Datagrams that no peer would send neither end the process nor take much memory, and
// callers are served after each of them.
func TestMalformedDatagrams(t *testing.T) {
	tg := newTestGateway(t)
	tg.server(func(c *conn) {
		for r := c.request(); r != nil; r = c.request() {
			c.write(streamHead(r) + event(1) + "0\r\n\r\n")
		}
	})
	status, _, _ := tg.call("/stream/") // creates the gate
	require.Equal(t, http.StatusOK, status)
	seeds := extremeDatagrams(t)
	rng := rand.New(rand.NewPCG(1, 1))
	const maxAllocated = 1 << 20
	for i, data := range seeds {
		require.LessOrEqual(t, allocated(func() { tg.g.peers.handleDatagram(data) }), uint64(maxAllocated))
		tg.g.updateAllGroups()
		tg.g.peers.currentLoads()
		status, body, _ := tg.call("/stream/", "X-Deadline", "1000")
		require.Equal(t, http.StatusOK, status, "after datagram %d: %s", i, body)
	}
	mutate := func(data []byte) []byte {
		data = bytes.Clone(data)
		for range 1 + rng.IntN(4) {
			at := rng.IntN(len(data))
			switch rng.IntN(4) {
			case 0:
				data = data[:at+1]
			case 1: // the head of a huge array, map, string or value of bytes
				data = append(data[:at], []byte{0xdd, 0xdf, 0xdb, 0xc6}[rng.IntN(4)], 0xff, 0xff, 0xff, 0xff)
			default:
				data[at] = byte(rng.Uint32())
			}
		}
		return data
	}
	total := allocated(func() {
		for range 20_000 {
			tg.g.peers.handleDatagram(mutate(seeds[rng.IntN(len(seeds))])) //nolint:errcheck // most are refused
		}
	})
	require.Less(t, total, uint64(20_000*64<<10))
	status, body, _ := tg.call("/stream/")
	require.Equal(t, http.StatusOK, status, body)
	require.LessOrEqual(t, len(tg.g.allServices()), 1, "a datagram has created services")
}

// Headers that no server or caller should send are refused or ignored.
func TestMalformedHeaders(t *testing.T) {
	values := []string{"", "-1", "NaN", "Inf", "1e308", "99999999999999999999", "-9223372036854775808", "\x7f", "a,b,c", ":", "timeout=-1", "timeout=9223372036854775807"}
	for _, name := range []string{"X-Deadline", "Last-Event-Id", "Connection", "X-Org", "X-Expect", "X-Reserved"} {
		for _, v := range values {
			t.Run(fmt.Sprintf("caller's %s %q", name, v), func(t *testing.T) {
				tg := newTestGateway(t)
				tg.server(serve("answer"))
				caller, err := net.Dial("tcp", strings.TrimPrefix(tg.front.URL, "http://"))
				require.NoError(t, err)
				defer caller.Close()
				fmt.Fprintf(caller, "POST /again/ HTTP/1.1\r\nHost: h\r\nX-Id: ff\r\nX-Key: key\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", name, v)
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				require.NoError(t, err)
				require.Less(t, resp.StatusCode, http.StatusInternalServerError)
			})
		}
	}
	for _, name := range []string{"Keep-Alive", "Retry-After", "X-Limit", "X-At", "Content-Type", "Connection", "Trailer"} {
		for _, v := range values {
			t.Run(fmt.Sprintf("server's %s %q", name, v), func(t *testing.T) {
				tg := newTestGateway(t)
				tg.server(func(c *conn) {
					for r := c.request(); r != nil; r = c.request() {
						c.write("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Seal: seal\r\n" + name + ": " + v + "\r\nContent-Length: 2\r\n\r\nok")
					}
				})
				for range 2 {
					status, body, _ := tg.call("/again/")
					if status == http.StatusOK {
						require.Equal(t, "ok", body)
					}
				}
			})
		}
	}
}
