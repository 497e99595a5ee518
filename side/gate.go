package side

import (
	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/config"
	"marjorampitch/wire"
)

// allowed checks what must hold for any new work: the process is current and
// not leaving, this backend server is in the document, its data centre in service.
func (s *Server) allowed() (*config.Document, *api.Error) {
	if s.node.Leaving() {
		return nil, api.NewError(api.Leaving, "side process is shutting down")
	}
	return s.inService()
}

// inService checks what must still hold when a request that was taken in
// earlier is about to run: time has passed while it waited, or the process
// was paused.
func (s *Server) inService() (*config.Document, *api.Error) {
	inForce := s.opt.Config.Document()
	l := s.limiter.Load()
	if inForce == nil || l == nil {
		return nil, api.NewError(api.NotReady, "no document with this backend server")
	}
	if l.isDown() {
		return nil, api.NewError(api.Unreachable, "backend server is down")
	}
	if !s.opt.Config.Current() {
		return nil, api.NewError(api.NotCurrent, "")
	}
	be := inForce.Doc.Backend(s.opt.Hello.Instance)
	if be == nil || be.Leaving {
		return nil, api.NewError(api.Leaving, "backend server is leaving")
	}
	if dc := inForce.Doc.DataCentre(be.DataCentre); dc == nil || dc.Out {
		return nil, api.NewError(api.DataCentreOut, be.DataCentre)
	}
	return inForce.Doc, nil
}

// judge says whether a request is suspected of crashing backend servers, and
// then runs alone or never.
func (s *Server) judge(m *wire.Request) (alone bool, e *api.Error) {
	switch s.node.Suspicion().Judge(m.Fingerprint) {
	case admit.Refuse:
		return false, api.NewError(api.Quarantined, "")
	case admit.RunAlone:
		return true, nil
	}
	return m.Alone, nil
}

// self returns this backend server's section of the document in force, or nil.
func (s *Server) self() *config.Backend {
	inForce := s.opt.Config.Document()
	if inForce == nil {
		return nil
	}
	return inForce.Doc.Backend(s.opt.Hello.Instance)
}

// weight is the share of an organisation relative to the others.
func weight(doc *config.Document, organisation string) int {
	o := doc.Organisation(organisation)
	if o == nil {
		return 1
	}
	return o.Weight
}
