package side

import (
	"marjorampitch/api"
	"marjorampitch/config"
	"marjorampitch/wire"
)

// admit decides whether a new attempt may run now and takes a slot for it.
// Every refusal says "not run".
func (s *Server) admit(m *wire.Request) *api.Error {
	if s.node.Leaving() {
		return api.NewError(api.Leaving, "side process is shutting down")
	}
	if e := s.allowed(); e != nil {
		return e
	}
	if m.BudgetMillis <= 0 {
		return api.NewError(api.DeadlineTooShort, "no time left")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.limit() {
		return api.NewError(api.Overloaded, "")
	}
	s.running++
	return nil
}

// allowed checks the document in force: this backend server must be in it,
// its data centre in service, and the process current.
func (s *Server) allowed() *api.Error {
	inForce := s.opt.Config.Document()
	if inForce == nil {
		return api.NewError(api.NotReady, "no document")
	}
	if !s.opt.Config.Current() {
		return api.NewError(api.NotCurrent, "")
	}
	be := inForce.Doc.Backend(s.opt.Hello.Instance)
	if be == nil || be.Leaving {
		return api.NewError(api.Leaving, "backend server is leaving")
	}
	if dc := inForce.Doc.DataCentre(be.DataCentre); dc == nil || dc.Out {
		return api.NewError(api.DataCentreOut, be.DataCentre)
	}
	return nil
}

// limit returns the number of attempts that may run at once. The caller holds mu.
func (s *Server) limit() int {
	be := s.self()
	if be == nil {
		return 0
	}
	return min(be.MaxRunning, maxAttempts)
}

// self returns this backend server's section of the document in force, or nil.
func (s *Server) self() *config.Backend {
	inForce := s.opt.Config.Document()
	if inForce == nil {
		return nil
	}
	return inForce.Doc.Backend(s.opt.Hello.Instance)
}

// report describes the backend server for entries.
func (s *Server) report() wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Report{
		Instance: s.opt.Hello.Instance,
		Backend:  s.opt.Hello.Instance,
		Leaving:  s.node.Leaving(),
		Limit:    s.limit(),
		Running:  s.running,
	}
}
