package admit

import "time"

// dated is a piece of state with the time of its last update.
type dated interface{ lastUpdate() time.Duration }

// makeRoom makes room for one more entry if the table has limit entries: it
// removes those that have expired and, if that is not enough, the least recently
// updated one.
func makeRoom[V dated](table map[uint64]V, limit int, ttl, now time.Duration) {
	if len(table) < limit {
		return
	}
	oldest, oldestAt := uint64(0), time.Duration(1<<62)
	for key, v := range table {
		at := v.lastUpdate()
		if now-at > ttl {
			delete(table, key)
			continue
		}
		if at < oldestAt || at == oldestAt && key < oldest {
			oldest, oldestAt = key, at
		}
	}
	if len(table) >= limit {
		delete(table, oldest)
	}
}
