package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"marjorampitch/fleet"
)

// pausingServerEnv makes the test binary a backend server that pauses its parent. Its value
// says when.
const pausingServerEnv = "GATEWAY_TEST_PAUSING_SERVER"

// Values of pausingServerEnv.
const (
	pauseInStream = "stream"
	pauseInDial   = "dial"
)

// startPausingServer starts the backend server in a process of its own and returns its
// address. The process ends with the test.
func startPausingServer(t *testing.T, when string) (address string, in io.Writer) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), pausingServerEnv+"="+when)
	stdin, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		stdin.Close()
		cmd.Wait() //nolint:errcheck // its output has been read
	})
	address, err = bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	return strings.TrimSpace(address), stdin
}

// TestMain runs the tests, or the backend server of startPausingServer.
func TestMain(m *testing.M) {
	switch os.Getenv(pausingServerEnv) {
	case pauseInStream:
		runPausingServer()
	case pauseInDial:
		runServerPausingDial()
	default:
		os.Exit(m.Run())
	}
}

// pauseParent pauses the parent process for as long as during takes.
func pauseParent(during func()) {
	syscall.Kill(os.Getppid(), syscall.SIGSTOP)
	during()
	syscall.Kill(os.Getppid(), syscall.SIGCONT)
}

// dialPause is longer than a dial may take, and than it takes the kernel to send a request
// for a connection again.
const dialPause = 2 * time.Second

// runServerPausingDial accepts nothing until it has a line on its standard input, and then
// only while its parent is paused. It serves until its standard input is closed.
func runServerPausingDial() {
	fd, port := listenDeaf()
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	waiting := fillQueue(address)
	fmt.Println(address)
	in := bufio.NewReader(os.Stdin)
	in.ReadString('\n') //nolint:errcheck // the parent writes a line
	ln, err := net.FileListener(os.NewFile(uintptr(fd), address))
	if err != nil {
		panic(err)
	}
	pauseParent(func() {
		for _, c := range waiting {
			c.Close()
		}
		go acceptAll(ln, serve("answer"))
		time.Sleep(dialPause)
	})
	in.ReadByte() //nolint:errcheck // returns when the parent closes it
}

// listenDeaf returns a listening socket whose queue of connections has almost no room.
func listenDeaf() (fd, port int) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	var name unix.Sockaddr
	if err == nil {
		name, err = unix.Getsockname(fd)
	}
	if err != nil {
		panic(err)
	}
	return fd, name.(*unix.SockaddrInet4).Port
}

// fillQueue opens connections until the server's queue is full.
func fillQueue(address string) (open []net.Conn) {
	for {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return open
		}
		open = append(open, c)
	}
}

// acceptAll serves the connections of a listener.
func acceptAll(ln net.Listener, handle func(c *conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go handle(&conn{Conn: c, br: bufio.NewReader(c)})
	}
}

// runPausingServer serves until its standard input is closed.
func runPausingServer() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	var once sync.Once
	handle := serveStreams(func(_ int, c *conn) {
		for id := range 40 {
			if id == 5 {
				once.Do(func() { go pauseParent(func() { time.Sleep(2 * silenceTimeout) }) })
			}
			c.write(event(id))
			time.Sleep(60 * time.Millisecond)
		}
	})
	go acceptAll(ln, handle)
	os.Stdin.Read(make([]byte, 1)) //nolint:errcheck // returns when the parent closes it
}

// pauseTestTimeout is a time for requests that a busy machine keeps, too.
const pauseTestTimeout = 5 * time.Minute

// It pauses the whole process, so it cannot run beside other tests.
func TestPauseOfGatewayIsNotSilenceOfServer(t *testing.T) {
	tg := newTestGateway(t)
	tg.document(func(d *fleet.Document) {
		d.Version = 2
		for i := range d.Routes {
			d.Routes[i].TargetGap = 0 // no admission
			d.Routes[i].Timeout = pauseTestTimeout
		}
	})
	address, _ := startPausingServer(t, pauseInStream)
	tg.cache.Apply([]fleet.Change{&fleet.Server{ID: "i-0", Service: "s", Address: address, Slots: 100, Seq: 1}}, 1)
	tg.preferInOrder("i-0", tg.server(resetRequest))
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			_, body, _ := tg.call("/stream/")
			if !strings.Contains(body, "id: 39") || strings.Contains(body, "CUT") {
				t.Errorf("body %q", body[max(0, len(body)-40):])
			}
		})
	}
	wg.Wait()
}

// The server accepts the connection while the gateway is paused, after the time of the dial.
// It pauses the whole process, so it cannot run beside other tests.
func TestPauseOfGatewayInDialIsNotHeldAgainstServer(t *testing.T) {
	tg := newTestGateway(t)
	tg.setRoutes(func(r *fleet.Route) { r.Timeout = pauseTestTimeout })
	address, in := startPausingServer(t, pauseInDial)
	tg.cache.Apply([]fleet.Change{&fleet.Server{ID: "i-0", Service: "s", Address: address, Slots: 100, Seq: 1}}, 1)
	answered := make(chan string, 1)
	go func() {
		_, body, _ := tg.call("/once/")
		answered <- body
	}()
	require.Eventually(t, func() bool { return tg.inFlight("i-0") == 1 }, 10*time.Second, time.Millisecond)
	_, err := io.WriteString(in, "\n")
	require.NoError(t, err)
	require.Equal(t, "answer", <-answered)
}
