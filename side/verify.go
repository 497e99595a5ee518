package side

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"marjorampitch/api"
	"marjorampitch/backing"
	"marjorampitch/internal/duplex"
	"marjorampitch/internal/resphead"
)

// dialer opens connections to one incarnation of the backend server and verifies
// each connection before its first use. A request that was admitted on a report of
// one incarnation must not reach another: a restarted engine is cold, so the limit
// under which the request was admitted does not apply to it.
type dialer struct {
	net    net.Dialer
	verify func(c net.Conn) *api.Error // nil for no verification
}

// dial implements http.Transport.DialContext. If verify rejects the connection,
// the error is the *api.Error of verify, whose Ran is NotRun.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp := raw.(*net.TCPConn)
	if err := tcp.SetReadBuffer(receiveBufferBytes); err != nil {
		tcp.Close()
		return nil, err
	}
	// The transport sends the rest of a body as it reads the answer.
	c := resphead.NewConn(duplex.New(tcp))
	if d.verify != nil {
		if e := d.verify(c); e != nil {
			c.Close()
			return nil, e
		}
	}
	return &gatedConn{Conn: c}, nil
}

// verifyIncarnation requests the engine's load report over the new connection c and
// returns an error unless the report names the wanted incarnation.
func (s *Server) verifyIncarnation(c net.Conn, wanted string) *api.Error {
	l := s.limiter.Load()
	asked := l.now()
	report, err := loadReportOver(c, s.opt.Backend)
	if err != nil {
		e := api.NewError(api.BackendFailed, "load report: "+err.Error())
		e.Ran = api.NotRun
		return e
	}
	s.observeLoad(l, asked, report)
	if report.Incarnation == wanted {
		return nil
	}
	return api.NewError(api.ColdLimit, "the engine was restarted")
}

// loadReportOver requests the load report over the open connection c, which
// remains usable for further requests.
func loadReportOver(c net.Conn, base string) (*backing.EngineReport, error) {
	if err := c.SetDeadline(time.Now().Add(healthCheckTimeout)); err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodGet, base+"/load", nil)
	if err != nil {
		return nil, err
	}
	if err := req.Write(c); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var report backing.EngineReport
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return nil, err
	}
	return &report, c.SetDeadline(time.Time{})
}
