package entry

import (
	"context"
	"math/rand/v2"

	"marjorampitch/backing"
)

// bootstrapPeers is the number of sidecars that a front proxy without a service
// configuration connects to at once.
const bootstrapPeers = 4

// bootstrap lets a front proxy obtain the service configuration from sidecars
// when it has none because the log service is unavailable. It is not known yet
// which sidecars belong to the service, so each call replaces the links by links
// to others, chosen at random.
func (t *linkTable) bootstrap(ctx context.Context, instances []backing.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.doc != nil {
		return
	}
	for name, l := range t.links {
		l.stop()
		delete(t.links, name)
	}
	for _, i := range rand.Perm(len(instances)) {
		if len(t.links) >= bootstrapPeers {
			return
		}
		if instances[i].Role == listRoleSide {
			t.startLink(ctx, instances[i])
		}
	}
}
