package gateway

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
)

// pausingServerEnv makes the test binary a backend server that pauses its parent.
const pausingServerEnv = "GATEWAY_TEST_PAUSING_SERVER"

// startPausingServer starts the backend server in a process of its own and returns its
// address. The process ends with the test.
func startPausingServer(t *testing.T) (address string) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), pausingServerEnv+"=1")
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		in.Close()
		cmd.Wait() //nolint:errcheck // its output has been read
	})
	address, err = bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	return strings.TrimSpace(address)
}

// TestMain runs the tests, or the backend server of startPausingServer.
func TestMain(m *testing.M) {
	if os.Getenv(pausingServerEnv) != "" {
		runPausingServer()
		return
	}
	os.Exit(m.Run())
}

// runPausingServer serves until its standard input is closed.
func runPausingServer() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	var once sync.Once
	pauseParent := func() {
		syscall.Kill(os.Getppid(), syscall.SIGSTOP)
		time.Sleep(2 * silenceTimeout)
		syscall.Kill(os.Getppid(), syscall.SIGCONT)
	}
	handle := serveStreams(func(_ int, c *conn) {
		for id := range 40 {
			if id == 5 {
				once.Do(func() { go pauseParent() })
			}
			c.write(event(id))
			time.Sleep(60 * time.Millisecond)
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go handle(&conn{Conn: c, br: bufio.NewReader(c)})
		}
	}()
	os.Stdin.Read(make([]byte, 1)) //nolint:errcheck // returns when the parent closes it
}

// It pauses the whole process, so it cannot run beside other tests.
func TestPauseOfGatewayIsNotSilenceOfServer(t *testing.T) {
	tg := newTestGateway(t)
	tg.document(func(d *fleet.Document) {
		d.Version = 2
		for i := range d.Routes {
			d.Routes[i].TargetGap = 0 // no admission
		}
	})
	tg.cache.Apply([]fleet.Change{&fleet.Server{ID: "i-0", Service: "s", Address: startPausingServer(t), Slots: 100, Seq: 1}}, 1)
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
