package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"marjorampitch/api"
)

// Partitions is the number of claim streams of a service. It is part of the stored
// format: if it changed, two claims of one key could be appended to different streams
// and both win.
const Partitions = 16

// String returns the canonical text form of the UUID.
func (k Key) String() string { return uuid.UUID(k).String() }

// Timestamp returns the UUIDv7 timestamp in milliseconds since the Unix epoch, taken
// from the caller's clock.
func (k Key) Timestamp() int64 {
	return int64(binary.BigEndian.Uint64(k[:8]) >> 16)
}

// Partition returns the index of the claim stream of the key, below Partitions.
func (k Key) Partition() int {
	return int(xxhash.Sum64(k[:]) % Partitions)
}

// StreamName returns the name of the claim stream of one partition of a service.
func StreamName(service string, partition int) string {
	return fmt.Sprintf("%s.claims.%02d", service, partition)
}

// KeyLimits bounds the timestamps of the keys that a front proxy accepts.
type KeyLimits struct {
	MaxAge  time.Duration // older keys are refused; must be below the log's retention by twice MaxSkew
	MaxSkew time.Duration // longest time that a timestamp may be ahead of the front proxy's clock
}

// ParseKey parses the text form of a key; letters may have either case.
// Errors: api.KeyMissing, api.KeyInvalid.
func ParseKey(s string) (Key, *api.Error) {
	if s == "" {
		return Key{}, api.NewError(api.KeyMissing, "")
	}
	const textLen = 36
	id, err := uuid.Parse(s)
	if err != nil || len(s) != textLen {
		return Key{}, api.NewError(api.KeyInvalid, "not the 36 characters of a UUID")
	}
	const version = 7
	if id.Version() != version || id.Variant() != uuid.RFC4122 {
		return Key{}, api.NewError(api.KeyInvalid, "not version 7 of RFC 9562")
	}
	return Key(id), nil
}

// Check compares the timestamp of k with now. Errors: api.KeyTooOld,
// api.KeyFromFuture.
func (l KeyLimits) Check(k Key, now time.Time) *api.Error {
	age := now.UnixMilli() - k.Timestamp()
	if age > l.MaxAge.Milliseconds() {
		return api.NewError(api.KeyTooOld, "")
	}
	if -age > l.MaxSkew.Milliseconds() {
		return api.NewError(api.KeyFromFuture, "")
	}
	return nil
}
