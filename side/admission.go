package side

import (
	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/config"
	"marjorampitch/wire"
)

// checkNewWork returns an error if the sidecar must refuse new requests: it is
// shutting down, or checkInService fails. Otherwise it returns the service
// configuration in force.
func (s *Server) checkNewWork() (*config.Document, *api.Error) {
	if s.node.Leaving() {
		return nil, api.NewError(api.Leaving, "side process is shutting down")
	}
	return s.checkInService()
}

// checkInService returns an error unless the backend server is up and in the
// service configuration, its data centre is in service, and the configuration is
// known to be current. It is called again just before an accepted request runs,
// since the state may have changed while the request was queued or the process
// was paused.
func (s *Server) checkInService() (*config.Document, *api.Error) {
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

// checkQuarantine reports whether the request must run alone, either because its
// fingerprint is suspected of crashing backend servers or because the front proxy
// asked for it. It returns an error if the fingerprint is quarantined.
func (s *Server) checkQuarantine(m *wire.Request) (alone bool, e *api.Error) {
	switch s.node.Quarantine().Check(m.Fingerprint) {
	case admit.Refuse:
		return false, api.NewError(api.Quarantined, "")
	case admit.RunAlone:
		return true, nil
	}
	return m.Alone, nil
}

// ownConfig returns the section of the service configuration in force for this
// backend server, or nil if there is none.
func (s *Server) ownConfig() *config.Backend {
	inForce := s.opt.Config.Document()
	if inForce == nil {
		return nil
	}
	return inForce.Doc.Backend(s.opt.Hello.Instance)
}

// organisationWeight returns the fair-share weight of an organisation; 1 if doc
// does not contain it.
func organisationWeight(doc *config.Document, organisation string) int {
	o := doc.Organisation(organisation)
	if o == nil {
		return 1
	}
	return o.Weight
}
