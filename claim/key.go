package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"marjorampitch/api"
)

// Partitions is the number of claim streams of a service. It is part of the
// stored format: changing it would let two claims of one key miss each other.
const Partitions = 16

// String returns the canonical text form.
func (k Key) String() string { return uuid.UUID(k).String() }

// Timestamp returns the key's birth time in milliseconds since the Unix epoch, as
// the caller's clock gave it.
func (k Key) Timestamp() int64 {
	return int64(binary.BigEndian.Uint64(k[:8]) >> 16)
}

// Partition returns the number of the claim stream that the key belongs to.
func (k Key) Partition() int {
	return int(xxhash.Sum64(k[:]) % Partitions)
}

// StreamName returns the name of one claim stream of a service.
func StreamName(service string, partition int) string {
	return fmt.Sprintf("%s.claims.%02d", service, partition)
}

// KeyLimits bounds the birth times of the keys that an entry accepts.
type KeyLimits struct {
	MaxAge  time.Duration // keys born earlier are refused; less than the log's retention by twice MaxSkew
	MaxSkew time.Duration // how far a key's birth may be ahead of the entry's clock
}

// ParseKey reads the text form of a key, in either case of letters.
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

// Check compares the key's birth with now. Errors: api.KeyTooOld, api.KeyFromFuture.
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
