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
)

// dialer opens connections to the backend server and has each one verified
// before its first use. It belongs to one incarnation of an engine: a request
// that was admitted on that incarnation's word reaches no other one. An engine
// that was restarted is cold, and the limit that the request was admitted
// under does not hold for it.
type dialer struct {
	net    net.Dialer
	verify func(c net.Conn) *api.Error // nil for no verification
}

// dial implements http.Transport.DialContext. The error of a connection that
// is refused by verify is the *api.Error, "not run".
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.net.DialContext(ctx, network, address)
	if err != nil || d.verify == nil {
		return c, err
	}
	if e := d.verify(c); e != nil {
		c.Close()
		return nil, e
	}
	return c, nil
}

// verify asks the engine over a new connection whether it is the incarnation
// that is wanted.
func (s *Server) verify(c net.Conn, wanted string) *api.Error {
	l := s.limiter.Load()
	asked := l.now()
	report, err := loadOver(c, s.opt.Backend)
	if err != nil {
		e := api.NewError(api.BackendFailed, "load report: "+err.Error())
		e.Ran = api.NotRun
		return e
	}
	s.observe(l, asked, report)
	if report.Incarnation == wanted {
		return nil
	}
	return api.NewError(api.ColdLimit, "the engine was restarted")
}

// loadOver asks for the load report over an open connection, and leaves it
// ready for another request.
func loadOver(c net.Conn, base string) (*backing.EngineReport, error) {
	if err := c.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
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
