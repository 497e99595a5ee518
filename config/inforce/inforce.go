// Package inforce asks the processes of a service which configuration
// document each has in force.
package inforce

import (
	"context"
	"errors"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rotisserie/eris"

	"marjorampitch/backing"
	"marjorampitch/wire"
)

const (
	askTimeout  = 2 * time.Second // for one process
	maxAtOnce   = 32              // processes asked at the same time
	operator    = "operator"      // instance name in the hello
	answerQueue = 1
)

// Report is what one process answered.
type Report struct {
	Instance   string `json:"instance"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`           // of the instance list
	Offset     int64  `json:"offset"`          // of the document in force; -1 for none
	Version    uint64 `json:"version"`         // of the document in force
	Current    bool   `json:"current"`         // the process takes new work by it
	Leaving    bool   `json:"leaving"`         // the process is shutting down
	Error      string `json:"error,omitempty"` // why there is no answer

	Comparison *wire.Comparison `json:"comparison,omitempty"` // of an entry with a candidate policy

	foreign bool // the process belongs to another service
}

// Ask asks every instance, and returns the reports in the order of the list.
// Processes that answer for another service are left out.
func Ask(ctx context.Context, service string, instances []backing.Instance) []Report {
	all := make([]Report, len(instances))
	pool := pond.NewPool(maxAtOnce)
	for i, inst := range instances {
		pool.Submit(func() { all[i] = askOne(ctx, service, inst) })
	}
	pool.StopAndWait()
	reports := make([]Report, 0, len(all))
	for _, r := range all {
		if !r.foreign {
			reports = append(reports, r)
		}
	}
	return reports
}

// Everywhere reports whether every process has the document at offset or a
// later one in force and is current. A leaving process that no longer answers
// is passed over.
func Everywhere(reports []Report, offset int64) bool {
	for _, r := range reports {
		if r.Error != "" && r.State == string(backing.InstanceLeaving) {
			continue
		}
		if r.Error != "" || r.Offset < offset || !r.Current {
			return false
		}
	}
	return true
}

func askOne(ctx context.Context, service string, inst backing.Instance) Report {
	r := Report{
		Instance:   inst.Name,
		Role:       inst.Role,
		DataCentre: inst.DataCentre,
		State:      string(inst.State),
		Offset:     int64(backing.NoOffset),
	}
	st, err := query(ctx, service, inst.Address)
	if errors.Is(err, errForeign) {
		r.foreign = true
		return r
	}
	if err != nil {
		r.Error = err.Error()
		return r
	}
	if st.Instance != inst.Name {
		r.Error = "the address answers as instance " + st.Instance
		return r
	}
	r.Offset, r.Version = st.ConfigOffset, st.ConfigVersion
	r.Current, r.Leaving = st.Current, st.Leaving
	r.Comparison = st.Comparison
	return r
}

var (
	// errNoAnswer says that a process closed the connection or stayed silent.
	errNoAnswer = eris.New("no answer")
	// errForeign says that a process belongs to another service.
	errForeign = eris.New("process of another service")
)

func query(ctx context.Context, service, address string) (*wire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asker := make(asker, answerQueue)
	hello := wire.Hello{Role: wire.RoleOperator, Service: service, Instance: operator, ConfigOffset: int64(backing.NoOffset)}
	conn, err := wire.Dial(ctx, address, hello, asker, asker)
	if err != nil {
		return nil, err
	}
	defer conn.Close(nil)
	if conn.Peer().Service != service {
		return nil, errForeign
	}
	if err := conn.Send(&wire.StatusQuery{Seq: 1}); err != nil {
		return nil, err
	}
	select {
	case st := <-asker:
		return st, nil
	case <-conn.Done():
	case <-ctx.Done():
	}
	return nil, errNoAnswer
}

// asker waits for one Status.
type asker chan *wire.Status

// Handle implements wire.Handler.
func (a asker) Handle(_ *wire.Conn, m wire.Message) {
	if st, ok := m.(*wire.Status); ok {
		select {
		case a <- st:
		default:
		}
	}
}

// Closed implements wire.Handler.
func (a asker) Closed(*wire.Conn, error) {}

// NextHeartbeat implements wire.HeartbeatSource.
func (a asker) NextHeartbeat(*wire.Conn) wire.Heartbeat {
	return wire.Heartbeat{ConfigOffset: int64(backing.NoOffset), ProofAgeMillis: -1}
}
