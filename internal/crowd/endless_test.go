package crowd

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marjorampitch/internal/scenario"
	"marjorampitch/platform/platformtest"
)

// endlessTime is how long servers send without end, to all that call them.
const endlessTime = time.Second

// callersAtOnce is the number of ordinary requests that are underway meanwhile.
const callersAtOnce = 150

// endlessAnswer is a response that does not end until its reader closes: how it begins, and
// what it repeats. $ID stands for the id of the request.
type endlessAnswer struct {
	begin, repeat string
	most          int // bytes after which nothing more is sent; 0 for no end
}

var endless = map[string]endlessAnswer{
	"no response":     {"", "0123456789", 0},
	"long field":      {headOK + "X-Long: ", "x", 0},
	"fields":          {headOK, "a:\r\n", 0},
	"interim heads":   {"", "HTTP/1.1 103 X\r\n\r\n", 0},
	"body":            {headOK + "\r\n", "x", 0},
	"numbers":         {headOK + "Content-Type: application/json\r\n\r\n" + `{"counts":[`, "0,", 0},
	"chunks":          {headOK + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n", 0},
	"largest length":  {headOK + "Content-Length: 9223372036854775807\r\n\r\n", "x", 0},
	"body of error":   {headError + "\r\n", "x", 0},
	"body of refusal": {headRefusal + "\r\n", "x", 0},
	"event":           {headOK + "Content-Type: text/event-stream\r\n\r\ndata: ", "x", 0},
	"lines of events": {headOK + "Content-Type: text/event-stream\r\n\r\n", "data: x\n", 0},
	// What is held of these is held until their reader gives up.
	"long field that stalls":    {headOK + "X-Long: ", "x", 60 << 10},
	"fields that stall":         {headOK, "a:\r\n", 1000},
	"body that stalls":          {headOK + "\r\n", "x", 1 << 20},
	"body of error that stalls": {headError + "\r\n", "x", 1 << 20},
	"event that stalls":         {headOK + "Content-Type: text/event-stream\r\n\r\ndata: ", "x", 1000 << 10},
}

const (
	headFields  = "Marjorampitch-Request-Id: $ID\r\nMarjorampitch-Response-Seal: x\r\n"
	headOK      = "HTTP/1.1 200 OK\r\n" + headFields
	headError   = "HTTP/1.1 500 X\r\n" + headFields
	headRefusal = "HTTP/1.1 503 X\r\nMarjorampitch-Request-Id: $ID\r\nMarjorampitch-Not-Executed: 1\r\n"
)

// sendEndless sends such a response.
func sendEndless(c net.Conn, kind, id string) {
	e := endless[kind]
	if _, err := io.WriteString(c, strings.ReplaceAll(e.begin, "$ID", id)); err != nil {
		return
	}
	block := []byte(strings.Repeat(e.repeat, (64<<10)/len(e.repeat)))
	for sent := 0; e.most == 0 || sent < e.most; {
		if e.most > 0 {
			block = block[:min(len(block), e.most-sent)]
		}
		n, err := c.Write(block)
		if sent += n; err != nil {
			return
		}
	}
	io.Copy(io.Discard, c) //nolint:errcheck // until the reader closes
}

// Servers answer ordinary requests without end. The gateway stays within its memory beside
// what its callers' connections take, and serves ordinary requests at the other servers.
func TestEndlessAnswersToGateway(t *testing.T) {
	for _, kind := range slices.Sorted(maps.Keys(endless)) {
		t.Run(kind, func(t *testing.T) {
			d, host, servers := startGatewayBeside(t)
			for _, s := range servers[1:] { // the first is a sound plain one
				s.UpdateState(func(st *platformtest.State) { st.Raw = func(c net.Conn, id string) { sendEndless(c, kind, id) } })
			}
			callFor(t, endlessTime, host+frontPort, "/again/x", "/once/x", "/stream/x")
			d.mustServe("after the answers")
			d.checkLimits()
		})
	}
}

// callFor sends requests to these paths in turn, callersAtOnce at a time, for this long.
func callFor(t *testing.T, limit time.Duration, address string, paths ...string) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var callers sync.WaitGroup
	for i := range callersAtOnce {
		callers.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				request(ctx, address, paths[n%len(paths)], 100) //nolint:errcheck // mostly failures of the servers
			}
		})
	}
	callers.Wait()
}

// Engines answer their rebalancer without end. It stays within its memory and lives.
func TestEndlessAnswersToRebalancer(t *testing.T) {
	for _, kind := range slices.Sorted(maps.Keys(endless)) {
		t.Run(kind, func(t *testing.T) {
			d, _, engines := startRebalancerBeside(t)
			time.Sleep(standTime)
			for _, e := range engines {
				e.UpdateState(func(st *platformtest.State) { st.Raw = func(c net.Conn, id string) { sendEndless(c, kind, id) } })
			}
			time.Sleep(endlessTime)
			d.mustServe("beside the answers")
			d.checkLimits()
		})
	}
}

// Plain servers answer their sidecars without end, and callers with them. Neither a sidecar nor
// the entry exceeds its memory, and both live.
func TestEndlessAnswersToSide(t *testing.T) {
	for _, kind := range []string{"body", "event that stalls", "fields that stall"} {
		t.Run(kind, func(t *testing.T) {
			servers := []string{"p1", "p2", "p3"}
			tb := startService(t, servers...)
			side, entry := watchDaemon(t, tb, "p1"), watchDaemon(t, tb, "n1")
			callService(t, tb) // so that the sidecar allows more at once
			for _, name := range servers {
				tb.Override(name, platformtest.Raw(func(c net.Conn, id string) { sendEndless(c, kind, id) }))
			}
			callService(t, tb)
			for _, name := range servers {
				tb.Override(name, nil)
			}
			side.mustServe("after the answers")
			side.checkLimits()
			entry.checkLimits()
		})
	}
}

// callService makes calls of both kinds for endlessTime, callersAtOnce at a time.
func callService(t *testing.T, tb *scenario.Testbed) {
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	var callers sync.WaitGroup
	for i := range callersAtOnce {
		callers.Go(func() {
			for ctx.Err() == nil {
				if i%2 == 0 {
					tb.Do(ctx, scenario.Call{Kind: "availability"})
					continue
				}
				if id, err := uuid.NewV7(); assert.NoError(t, err) {
					tb.Do(ctx, scenario.Call{Kind: "deposits", Key: id.String(), Body: `{"amount":1}`})
				}
			}
		})
	}
	callers.Wait()
}

// The store answers without end. Processes stay within their memory and live.
func TestEndlessAnswersOfStore(t *testing.T) {
	for role, start := range map[string]func(t *testing.T) (*daemon, string){"gateway": startGateway, "rebalancer": startRebalancer} {
		for _, kind := range []string{"body", "chunks", "fields", "long field"} {
			t.Run(role+", "+kind, func(t *testing.T) {
				d, host := start(t)
				d.faults(platformtest.Faults{Raw: func(c net.Conn, id string) { sendEndless(c, kind, id) }})
				time.Sleep(2 * endlessTime) // calls that have begun before end first
				d.faults(platformtest.Faults{})
				require.NoError(t, get(t.Context(), host+metricsPort, "/metrics"), d.lastLines())
				d.mustServe("after the answers")
				d.checkLimits()
			})
		}
	}
}

// pageHead begins a page of newest records of a store that has come back from an older copy,
// for which readers ask then.
var pageHead = fmt.Sprintf("HTTP/1.1 200 OK\r\nStore-Era: %d\r\n\r\n", platformtest.FirstEra+1) + `{"end":1,"has_more":true,"items":[`

// storeFloods are answers of a store that take far more memory than their text, within the
// bounds of answers and beyond them, or that have pages without end.
var storeFloods = map[string]platformtest.Raw{
	"pages": func(c net.Conn, _ string) {
		value := base64.StdEncoding.EncodeToString(make([]byte, 2<<10))
		var items []string
		for range 500 {
			items = append(items, fmt.Sprintf(`{"key":%q,"value":%q}`, uuid.NewString(), value))
		}
		io.WriteString(c, pageHead+strings.Join(items, ",")+"]}") //nolint:errcheck // its reader may close
	},
	"short items":        shortItems(4 << 20),
	"many short items":   shortItems(8 << 20),
	"short records":      shortRecords(2 << 20),
	"many short records": shortRecords(8 << 20),
}

// shortItems writes a page with so many bytes of the shortest items.
func shortItems(n int) platformtest.Raw {
	const item, end = "{},", "{}]}"
	page := strings.Repeat(item, (n-len(pageHead)-len(end))/len(item))
	return func(c net.Conn, _ string) {
		io.WriteString(c, pageHead+page+end) //nolint:errcheck // its reader may close
	}
}

// shortRecords writes the answer to a read with so many bytes of empty records.
func shortRecords(n int) platformtest.Raw {
	return func(c net.Conn, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nStore-Era: %d\r\n\r\n%s", platformtest.FirstEra, make([]byte, n))
	}
}

// The store floods its readers. They stay within their memory and live.
func TestFloodsOfStore(t *testing.T) {
	for role, start := range map[string]func(t *testing.T) (*daemon, string){"gateway": startGateway, "rebalancer": startRebalancer} {
		for kind, raw := range storeFloods {
			t.Run(role+", "+kind, func(t *testing.T) {
				d, host := start(t)
				d.faults(platformtest.Faults{Raw: raw})
				time.Sleep(3 * endlessTime) // calls that have begun before end first
				d.faults(platformtest.Faults{})
				require.NoError(t, get(t.Context(), host+metricsPort, "/metrics"), d.lastLines())
				d.checkLimits()
			})
		}
	}
}
