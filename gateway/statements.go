package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/admit"
	"marjorampitch/api"
	"marjorampitch/fleet"
)

// serverStatements keeps what backend servers state in their answers about the
// requests that they take, by incarnation. It is safe for concurrent use. Its mu is
// taken while a service's is held.
type serverStatements struct {
	log         *log.Logger
	limitHeader string // of answers; empty if servers state no limits

	mu     sync.Mutex // guards limits and rests
	limits *admit.ServerLimits
	rests  *admit.ServerRests
}

func newServerStatements(instance, limitHeader string, logger *log.Logger) *serverStatements {
	source := rand.New(rand.NewPCG(rand.Uint64(), 0))
	return &serverStatements{
		log: logger, limitHeader: limitHeader,
		limits: admit.NewServerLimits(instance, source), rests: admit.NewServerRests(source),
	}
}

// observe records what an answer of a server states.
func (x *serverStatements) observe(m *fleet.Member, answer *http.Response, now time.Duration) {
	if answer.StatusCode == http.StatusMisdirectedRequest { // of another server
		return
	}
	x.observeLimit(m, answer.Header, now)
	x.observeRest(m, answer, now)
}

// excluded returns for each member whether it may not get a request now; nil while no
// server states anything. Unless declining is set, those are included that should not get
// it while others can take it. A repeat follows an attempt that no server has answered.
func (x *serverStatements) excluded(members []*fleet.Member, declining, repeat bool, now time.Duration) []bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.rests.Empty() && x.limits.Empty() {
		return nil
	}
	list := make([]bool, len(members))
	for i, m := range members {
		server := incarnationOf(m)
		list[i] = !x.rests.Allows(server, now) || !x.limits.Allows(server, now) ||
			!declining && !x.rests.Prefers(server, repeat, now)
	}
	return list
}

// sent records that a request is being sent to a server.
func (x *serverStatements) sent(m *fleet.Member, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	server := incarnationOf(m)
	x.limits.Sent(server, now)
	x.rests.Sent(server, now)
}

// refusal returns the refusal of a request that no server of its service can take
// because of what they state; nil if that is not the reason.
func (x *serverStatements) refusal(service string, members []*fleet.Member, now time.Duration) *api.Error {
	if e := x.limitRefusal(service, members, now); e != nil {
		return e
	}
	return x.restRefusal(members, now)
}

// limitRefusal returns the refusal of a request because servers of its service have
// reached their limits and no other can take it; nil if none of them has.
func (x *serverStatements) limitRefusal(service string, members []*fleet.Member, now time.Duration) *api.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	servers := incarnationsOf(members)
	n := x.limits.AtLimit(servers, now)
	if n == 0 {
		return nil
	}
	e := api.NewError(api.Overloaded, strconv.Itoa(n)+" of "+strconv.Itoa(len(members))+" servers are at their limits")
	e.RetryAfter = x.limits.RetryAfter(service, servers, now)
	return e
}

// update takes the present gateways and servers over.
func (x *serverStatements) update(gateways []string, view *fleet.View, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rests.Prune(now)
	x.limits.SetGateways(gateways)
	if x.limits.Empty() {
		return
	}
	members := make([]*fleet.Member, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, m)
	}
	x.limits.Prune(incarnationsOf(members), now)
}

func incarnationsOf(members []*fleet.Member) []admit.ServerIncarnation {
	list := make([]admit.ServerIncarnation, len(members))
	for i, m := range members {
		list[i] = incarnationOf(m)
	}
	return list
}
