// Package inforce queries the processes of a service for the configuration
// document that each has in force.
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
	queryTimeout         = 2 * time.Second // per process
	maxConcurrentQueries = 32
	operatorName         = "operator" // instance name sent in wire.Hello
	statusQueueSize      = 1
)

// Report is the status of one process, or the reason why it could not be queried.
type Report struct {
	Instance   string `json:"instance"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`           // state in the instance list
	Offset     int64  `json:"offset"`          // log offset of the document in force; -1 for none
	Version    uint64 `json:"version"`         // version of the document in force; 0 for none
	Current    bool   `json:"current"`         // the document is proved to be current
	Leaving    bool   `json:"leaving"`         // the process is shutting down
	Error      string `json:"error,omitempty"` // why the query failed; empty if it succeeded

	Comparison *wire.Comparison `json:"comparison,omitempty"` // set by a front proxy with a candidate policy

	otherService bool // the process belongs to another service
}

// Query queries all instances concurrently and returns their reports in the order
// of instances. Processes of another service are omitted. A failed query is
// recorded in the Error field of its report.
func Query(ctx context.Context, service string, instances []backing.Instance) []Report {
	all := make([]Report, len(instances))
	pool := pond.NewPool(maxConcurrentQueries)
	for i, inst := range instances {
		pool.Submit(func() { all[i] = queryInstance(ctx, service, inst) })
	}
	pool.StopAndWait()
	reports := make([]Report, 0, len(all))
	for _, r := range all {
		if !r.otherService {
			reports = append(reports, r)
		}
	}
	return reports
}

// Everywhere reports whether every process is current and has the document at
// offset, or a later one, in force. Processes that the instance list shows as
// leaving and that could not be queried are ignored.
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

func queryInstance(ctx context.Context, service string, inst backing.Instance) Report {
	r := Report{
		Instance:   inst.Name,
		Role:       inst.Role,
		DataCentre: inst.DataCentre,
		State:      string(inst.State),
		Offset:     int64(backing.NoOffset),
	}
	st, err := queryStatus(ctx, service, inst.Address)
	if errors.Is(err, errOtherService) {
		r.otherService = true
		return r
	}
	if err != nil {
		r.Error = err.Error()
		return r
	}
	if st.Instance != inst.Name {
		r.Error = "the process at this address is instance " + st.Instance
		return r
	}
	r.Offset, r.Version = st.ConfigOffset, st.ConfigVersion
	r.Current, r.Leaving = st.Current, st.Leaving
	r.Comparison = st.Comparison
	return r
}

var (
	// errNoAnswer is returned if a process closes the connection, or sends no status
	// within queryTimeout.
	errNoAnswer = eris.New("no status received before the connection was closed or the query timed out")
	// errOtherService is returned if a process belongs to another service.
	errOtherService = eris.New("process belongs to another service")
)

func queryStatus(ctx context.Context, service, address string) (*wire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	handler := make(statusHandler, statusQueueSize)
	hello := wire.Hello{Role: wire.RoleOperator, Service: service, Instance: operatorName, ConfigOffset: int64(backing.NoOffset)}
	conn, err := wire.Dial(ctx, address, hello, handler, handler)
	if err != nil {
		return nil, err
	}
	defer conn.Close(nil)
	if conn.Peer().Service != service {
		return nil, errOtherService
	}
	if err := conn.Send(&wire.StatusQuery{Seq: 1}); err != nil {
		return nil, err
	}
	select {
	case st := <-handler:
		return st, nil
	case <-conn.Done():
	case <-ctx.Done():
	}
	return nil, errNoAnswer
}

// statusHandler passes on the first Status that a connection receives.
type statusHandler chan *wire.Status

// Handle implements wire.Handler.
func (h statusHandler) Handle(_ *wire.Conn, m wire.Message) {
	if st, ok := m.(*wire.Status); ok {
		select {
		case h <- st:
		default:
		}
	}
}

// Closed implements wire.Handler.
func (h statusHandler) Closed(*wire.Conn, error) {}

// NextHeartbeat implements wire.HeartbeatSource.
func (h statusHandler) NextHeartbeat(*wire.Conn) wire.Heartbeat {
	return wire.Heartbeat{ConfigOffset: int64(backing.NoOffset), ProofAgeMillis: -1}
}
