package daemon

import (
	"time"

	"github.com/charmbracelet/log"

	"marjorampitch/fleet"
	"marjorampitch/internal/clock"
	"marjorampitch/peerread"
	"marjorampitch/platform"
	"marjorampitch/store"
)

// Timing of reads through another gateway.
const (
	// relayedServersSlack is the time for which a reader may hold a request for servers'
	// records in addition to the pause between its reads, so that its next read answers it.
	relayedServersSlack = 200 * time.Millisecond
	// relayedOperatorWait is the time for which a reader may hold a request for the
	// operator's records. A lost datagram is noticed that much later, which must fit into
	// the bound for configurations together with a read of the store.
	relayedOperatorWait = 700 * time.Millisecond
	// readerOperatorWait is the long-poll time of a reader. The proof of the gateways that
	// ask it, up to twice as old, must leave time within the bound for revoked keys for a
	// request that is lost and a read of the store.
	readerOperatorWait = time.Second
	// relayedAgeSlack is added to the age that a reader's proof usually reaches, to get the
	// age beyond which its records are not used.
	relayedAgeSlack = 300 * time.Millisecond
)

// followOperator returns the Follower of the operator's records.
func followOperator(s *platform.Store, link *peerread.Link, cache *fleet.Cache, logger *log.Logger) *fleet.Follower {
	relayed := peerread.TopicOptions{
		Wait: relayedOperatorWait, ReaderWait: readerOperatorWait, MaxAge: 2*readerOperatorWait + relayedAgeSlack, Timeout: storeTimeout,
	}
	source := s.OperatorSourceVia(func(topic string) store.Reader {
		relayed.Name = topic
		return link.Topic(s, relayed)
	})
	return fleet.NewFollower(source, cache, fleet.FollowOptions{
		Name: "operator", Operator: true, Wait: operatorWait, Timeout: storeTimeout + relayed.RequestTime(), Clock: clock.SinceBoot,
	}, logger)
}

// followServers returns the Follower of the backend servers' records. A reader holds a
// request until its next read, so that reading through it takes no longer than reading
// the store.
func followServers(s *platform.Store, link *peerread.Link, cache *fleet.Cache, drainBound time.Duration, logger *log.Logger) *fleet.Follower {
	pause := max(time.Duration(serverPauseShare*float64(drainBound)), minServerPause)
	relayed := peerread.TopicOptions{
		Wait: pause + relayedServersSlack, MaxAge: pause + relayedServersSlack + relayedAgeSlack, Timeout: storeTimeout,
		Filter: platform.NewServerFilter(),
	}
	source := s.ServerSourceVia(func(topic string) store.Reader {
		relayed.Name = topic
		return link.Topic(s, relayed)
	})
	return fleet.NewFollower(source, cache, fleet.FollowOptions{
		Name: "servers", Wait: 0, Pause: pause, Timeout: storeTimeout + relayed.RequestTime(), Clock: clock.SinceBoot,
	}, logger)
}
