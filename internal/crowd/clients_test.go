package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjorampitch/platform/platformtest"
)

// Sizes and times of clients.
const (
	sendTime    = 4 * time.Second // after which a client stops to send to a process that does not read
	slowBytes   = 100             // sent or read by slow clients, one at a time
	slowPause   = 10 * time.Millisecond
	farOver     = 4 * bodyLimit
	hugeHead    = 900 << 10
	trailerSize = 4000
	ahead       = 2000 // requests that are sent on one connection before an answer is read
	smallSocket = 4 << 10
	rounds      = 2 // in which the clients of the last kind do all of the others
)

// client is one client of a crowd.
type client struct {
	ctx     context.Context // ends when the crowd leaves
	address string
	path    string
	fields  string // of each request
	net.Conn
}

// kind is a kind of client. send returns when the client has done what it does; its
// connection stays open until the crowd leaves, or ends with a reset.
type kind struct {
	name   string
	send   func(c *client)
	resets bool
}

var kinds = []kind{
	{name: "bodies in one piece that stop a byte short", send: func(c *client) {
		c.head(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))
		c.write(strings.Repeat("x", bodyLimit-1))
	}},
	{name: "bodies in small pieces that stop a byte short", send: func(c *client) {
		c.head(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))
		c.repeat(strings.Repeat("x", 1<<10), bodyLimit-1)
	}},
	{name: "bodies in chunks that stop short", send: func(c *client) {
		c.head("Transfer-Encoding: chunked\r\n")
		c.repeat(fmt.Sprintf("%x\r\n%s\r\n", 4<<10, strings.Repeat("x", 4<<10)), bodyLimit-8<<10)
	}},
	{name: "bodies in chunks of a byte that stop short", send: func(c *client) {
		c.head("Transfer-Encoding: chunked\r\n")
		c.repeat(strings.Repeat("1\r\nx\r\n", 200), 64<<10)
	}},
	{name: "bodies far over the limit", send: func(c *client) {
		c.head("Content-Length: 1099511627776\r\n")
		c.repeat(strings.Repeat("x", 16<<10), farOver)
	}},
	{name: "chunks far over the limit", send: func(c *client) {
		c.head("Transfer-Encoding: chunked\r\n")
		c.repeat(fmt.Sprintf("%x\r\n%s\r\n", 16<<10, strings.Repeat("x", 16<<10)), farOver)
	}},
	{name: "bodies a byte at a time", send: func(c *client) {
		c.head(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))
		c.slowly(strings.Repeat("x", slowBytes))
	}},
	{name: "bodies cut off by a reset", resets: true, send: func(c *client) {
		c.head(fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))
		c.write(strings.Repeat("x", bodyLimit/2))
	}},
	{name: "legal heads of short fields and bodies that stop short", send: func(c *client) {
		c.head(shortFields(headLimit-512) + "Content-Length: 10\r\n")
		c.write("123456789")
	}},
	{name: "legal heads of equal short fields and bodies that stop short", send: func(c *client) {
		c.head(strings.Repeat("a:\r\n", (headLimit-512)/4) + "Content-Length: 10\r\n")
		c.write("123456789")
	}},
	{name: "legal requests of short fields ahead of others", send: func(c *client) {
		one := c.text(shortFields(headLimit-512) + "Content-Length: 0\r\n")
		c.repeat(one, 20*len(one))
	}},
	{name: "requests whose ids fill the head", send: func(c *client) {
		c.fields = entryFields // without an id
		c.requests(ahead/100, func() string {
			return "Marjorampitch-Request-Id: " + newID() + strings.Repeat("x", headLimit-1<<10) + "\r\n"
		})
	}},
	{name: "prompts of very many parts", send: func(c *client) {
		c.requests(ahead/100, func() string {
			return "Marjorampitch-Model: m\r\nMarjorampitch-Token-Counts: 1000,10\r\nMarjorampitch-Prompt-Prefix: " + newParts(headLimit-1<<10) + "\r\n"
		})
	}},
	{name: "heads of short fields far over the limit", send: func(c *client) { c.head(shortFields(hugeHead)) }},
	{name: "options of the server, with bodies that stop short", send: func(c *client) {
		head := c.text(shortFields(headLimit-512) + "Content-Length: 4000\r\n")
		c.write(strings.Replace(head, "POST "+c.path, "OPTIONS *", 1) + "x")
	}},
	{name: "bodies that are to be asked for", send: func(c *client) {
		c.head(shortFields(headLimit-512) + "Expect: 100-continue\r\nContent-Length: 4000\r\n")
		c.slowly(strings.Repeat("x", slowBytes))
	}},
	{name: "chunks with long extensions", send: func(c *client) {
		c.head("Transfer-Encoding: chunked\r\n")
		c.repeat("1;"+strings.Repeat("x", 3000)+"\r\nx\r\n", bodyLimit)
	}},
	{name: "trailers of short fields and no answer read", send: func(c *client) {
		c.repeat(c.text("Transfer-Encoding: chunked\r\n")+"1\r\nx\r\n0\r\n"+shortFields(trailerSize)+"\r\n", ahead*trailerSize/10)
	}},
	{name: "heads of short fields far over the limit, begun ahead", send: func(c *client) {
		const cut = "\r\n" // the first line that is sent ahead ends after the answer
		c.write(c.text("Content-Length: 0\r\n") + strings.TrimSuffix(c.text(""), cut+cut))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // as write
		c.write(cut + shortFields(hugeHead))
	}},
	{name: "heads that stop midway", send: func(c *client) {
		c.write(strings.TrimSuffix(c.text(shortFields(headLimit-512)), "\r\n"))
	}},
	{name: "heads a byte at a time", send: func(c *client) { c.slowly(strings.TrimSuffix(c.text("A: b\r\n"), "\r\n")) }},
	{name: "idle connections", send: func(*client) {}},
	{name: "many requests ahead and no answer read", send: func(c *client) {
		c.repeat(c.text("Content-Length: 0\r\n"), ahead*len(c.text("Content-Length: 0\r\n")))
	}},
	{name: "answers read slowly", send: func(c *client) {
		for range 10 {
			c.head("Content-Length: 0\r\n")
		}
		for range slowBytes {
			io.ReadFull(c, make([]byte, 1)) //nolint:errcheck // the process may have closed the connection
			c.pause(slowPause)
		}
	}},
}

// allInTurn is the kind whose clients do what all others do and return at once.
var allInTurn = kind{name: "all in turn", send: func(c *client) {
	for range rounds {
		for _, k := range kinds {
			again, err := dial(c.ctx, c.address, c.path, c.fields)
			if err != nil {
				continue
			}
			k.send(again)
			again.Close()
		}
	}
}}

// dial connects a client whose socket holds little that it does not read.
func dial(ctx context.Context, address, path, fields string) (*client, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallSocket) //nolint:errcheck // larger ones serve, too
		})
	}}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(sendTime)) //nolint:errcheck // of an open connection
	return &client{ctx, address, path, fields, conn}, nil
}

// text returns the head of a request with further fields.
func (c *client) text(fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n", c.path, platformtest.RouteHost, strings.ReplaceAll(c.fields, "$ID", newID()), fields)
}

func (c *client) head(fields string) { c.write(c.text(fields)) }

// write sends s. Errors do not matter: the process may close the connection.
func (c *client) write(s string) { io.WriteString(c.Conn, s) } //nolint:errcheck // see above

// requests sends n requests with further fields, one after the other, and reads the answers.
func (c *client) requests(n int, fields func() string) {
	br := bufio.NewReader(c)
	for range n {
		c.head(fields() + "Content-Length: 0\r\n")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return
		}
	}
}

// newParts returns n bytes of parts of a prompt that no other has.
func newParts(n int) string {
	var b strings.Builder
	for b.Len() < n-20 {
		fmt.Fprintf(&b, "%x:1,", lastPart.Add(1))
	}
	return strings.TrimSuffix(b.String(), ",")
}

var lastPart atomic.Uint64

// repeat sends s again and again, n bytes at most.
func (c *client) repeat(s string, n int) {
	for n >= len(s) {
		if _, err := io.WriteString(c.Conn, s); err != nil {
			return
		}
		n -= len(s)
	}
	c.write(s[:n])
}

// slowly sends s a byte at a time.
func (c *client) slowly(s string) {
	for i := range s {
		c.write(s[i : i+1])
		c.pause(slowPause)
	}
}

// pause waits for d or until the crowd leaves.
func (c *client) pause(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// shortFields returns n bytes of fields with names of three letters and without a value.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len() <= n-6; i++ {
		b.WriteByte(letters[i%26])
		b.WriteByte(letters[i/26%26])
		b.WriteByte(letters[i/676%26])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// crowd is a number of clients.
type crowd struct {
	cancel context.CancelFunc
	mu     sync.Mutex // guards conns
	conns  []net.Conn
	kind   kind
}

// gather lets n clients of a kind do what they do, all at once, and returns when they have.
// Those whose connection the process does not take are done.
func gather(n int, k kind, address string, at door) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	g := &crowd{cancel: cancel, kind: k}
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			c, err := dial(ctx, address, at.path, at.fields)
			if err != nil {
				return
			}
			g.mu.Lock()
			g.conns = append(g.conns, c.Conn)
			g.mu.Unlock()
			k.send(c)
		})
	}
	all.Wait()
	return g
}

// leave closes all connections.
func (g *crowd) leave() {
	g.cancel()
	for _, c := range g.conns {
		if g.kind.resets {
			c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // of an open connection
		}
		c.Close()
	}
}
