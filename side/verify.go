package side

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

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

// maxReportBytes bounds a load report.
const maxReportBytes = 64 << 10

// errReport means that the answer to a request for a load report is none, or leaves the
// connection unusable.
var errReport = eris.New("side: no load report")

// loadReportOver requests the load report over the open connection c, which
// remains usable for further requests. Errors: errReport, those of the connection and of the
// decoding.
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
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, req)
	if err != nil {
		return nil, err
	}
	// The body is not closed: that would read the rest of it, which may not end.
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(errReport, "status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxReportBytes:
		return nil, eris.Wrapf(errReport, "more than %d bytes", maxReportBytes)
	case resp.Close:
		return nil, eris.Wrap(errReport, "the connection ends with it")
	case br.Buffered() > 0:
		return nil, eris.Wrap(errReport, "more than one answer")
	}
	var report backing.EngineReport
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	return &report, c.SetDeadline(time.Time{})
}
