package entry

import (
	"context"
	"math/rand/v2"

	"marjorampitch/backing"
)

// bootstrapPeers is the number of side processes asked at once by an entry without a document.
const bootstrapPeers = 4

// bootstrap connects an entry that has no document, since the log service is
// down, to side processes, which hand theirs over. Which ones belong to its
// service is not known yet, so each call tries others, drawn at random.
func (t *table) bootstrap(ctx context.Context, instances []backing.Instance) {
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
			t.start(ctx, instances[i])
		}
	}
}
