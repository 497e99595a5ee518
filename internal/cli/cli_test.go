package cli_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"marjorampitch/backing"
	"marjorampitch/backing/backingtest"
	"marjorampitch/internal/cli"
	"marjorampitch/internal/node"
	"marjorampitch/logfold"
	"marjorampitch/wire"
)

const service = "bryllupslyd"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"marjorampitch": func() { os.Exit(cli.Run(os.Args[1:])) },
	})
}

// testSite is the environment of a script: a log service, an instance list and
// three processes that follow the log.
type testSite struct {
	log  *backingtest.Log
	list *backingtest.InstanceList
}

// siteKey is the key of the testSite in the values of a script's environment.
type siteKey struct{}

// Runs the scripts of testdata, which check the output and the exit codes of the
// commands, also when the log service loses the answer to an append.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"lose-answers": func(ts *testscript.TestScript, _ bool, _ []string) {
				siteOf(ts).log.SetFaults(backingtest.LogFaults{LoseAnswers: 1})
			},
			"exit-code": exitCode,
		},
	})
}

func siteOf(ts *testscript.TestScript) *testSite { return ts.Value(siteKey{}).(*testSite) }

// exitCode implements the script command "exit-code N COMMAND ARGS...", which fails
// unless COMMAND ends with exit code N.
func exitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	if err != nil {
		got = err.Error()
	}
	if got != args[0] && got != "exit status "+args[0] {
		ts.Fatalf("%v: got %s, want exit code %s", args[1:], got, args[0])
	}
}

// setup starts the environment of a script and copies the example documents into
// its directory.
func setup(env *testscript.Env) error {
	s := &testSite{log: backingtest.NewLog(backingtest.WithAppendRate(0)), list: backingtest.NewInstanceList()}
	env.Values[siteKey{}] = s
	logServer := httptest.NewServer(s.log.Handler())
	listServer := httptest.NewServer(s.list.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	env.Defer(func() {
		cancel()
		logServer.CloseClientConnections()
		logServer.Close()
		listServer.Close()
	})
	for _, name := range []string{"dk1-entry", "dk2-entry", "dk3-entry"} {
		if err := s.startFollower(ctx, name); err != nil {
			return err
		}
	}
	env.Setenv("MARJORAMPITCH_LOG_SERVICE", logServer.URL)
	env.Setenv("MARJORAMPITCH_INSTANCE_LIST", listServer.URL)
	env.Setenv("MARJORAMPITCH_SERVICE", service)
	for _, name := range []string{"bryllupslyd.ini", "caroni-watch.ini"} {
		data, err := os.ReadFile("../../examples/" + name)
		if err != nil {
			return err
		}
		if err := os.WriteFile(env.WorkDir+"/"+name, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// startFollower starts a process that follows the log and answers status queries,
// and adds it to the instance list.
func (s *testSite) startFollower(ctx context.Context, name string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	runner := logfold.NewRunner(s.log, logfold.Options{Service: service, DataCentre: name[:3], Jitter: rand.Float64})
	n := node.New(wire.Hello{Role: wire.RoleEntry, Service: service, Instance: name, DataCentre: name[:3]}, runner)
	go runner.Run(ctx)
	context.AfterFunc(ctx, func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go wire.Accept(nc, n.Hello(), handler{n}, n)
		}
	}()
	s.list.Put(backing.Instance{
		Name: name, Address: ln.Addr().String(), DataCentre: name[:3], Role: "entry", State: backing.InstanceLive,
	})
	return nil
}

type handler struct{ node *node.Node }

func (h handler) Handle(c *wire.Conn, m wire.Message) { h.node.HandleControl(c, m) }

func (h handler) Closed(c *wire.Conn, _ error) { h.node.ConnClosed(c) }

// TestRunnerFollowsPeerWithoutLogService checks that a process that does not read
// the log service receives the document from a peer and is current by the
// freshness proof in the peer's heartbeats.
func TestRunnerFollowsPeerWithoutLogService(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	log := backingtest.NewLog(backingtest.WithAppendRate(0))
	reader := logfold.NewRunner(log, logfold.Options{Service: service, DataCentre: "dk1", Jitter: rand.Float64})
	peer := logfold.NewRunner(nil, logfold.Options{Service: service, DataCentre: "dk2", ReadMode: logfold.ReadNever, Jitter: rand.Float64})
	go reader.Run(ctx)
	go peer.Run(ctx)
	text, err := os.ReadFile("../../examples/bryllupslyd.ini")
	require.NoError(t, err)
	packed, err := logfold.Pack(text)
	require.NoError(t, err)
	change := logfold.ConfigChange{Service: service, Format: 1, Document: packed}
	data, err := change.MarshalMsg(nil)
	require.NoError(t, err)
	_, err = log.Append(ctx, logfold.ConfigStream(service), [][]byte{data})
	require.NoError(t, err)
	changed := reader.Subscribe()
	if reader.Document() == nil {
		<-changed
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	readerNode := node.New(wire.Hello{Role: wire.RoleEntry, Service: service, Instance: "a", DataCentre: "dk1"}, reader)
	peerNode := node.New(wire.Hello{Role: wire.RoleSide, Service: service, Instance: "b", DataCentre: "dk2"}, peer)
	received := peer.Subscribe()
	go func() {
		if nc, err := ln.Accept(); err == nil {
			wire.Accept(nc, readerNode.Hello(), handler{readerNode}, readerNode)
		}
	}()
	conn, err := wire.Dial(ctx, ln.Addr().String(), peerNode.Hello(), handler{peerNode}, peerNode)
	require.NoError(t, err)
	defer conn.Close(nil)
	select {
	case <-received:
	case <-time.After(20 * time.Second):
		t.Fatal("peer received no document within 20 s")
	}
	require.True(t, peer.Current())
	require.Equal(t, text, peer.Document().Raw)
}
