// Package claim decides which request with an idempotency key may run.
//
// A claim is a record in the platform's log, in the stream of the key's partition. The
// claim of a key with the lowest offset wins. A claim whose request turned out not to run
// is released by a second record. Ledger folds the records of one partition: all hosts that
// read the stream come to the same decision.
package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
)

// Partitions is the number of claim streams.
const Partitions = 64

// Record is a record of a claim stream.
type Record struct {
	Key string `msgpack:"k"`
	// Nonce is unique to each claim; Host is the process that made it.
	Nonce string `msgpack:"n"`
	Host  string `msgpack:"h"`
	// Fingerprint is a hash of the request. It distinguishes a retry from a different
	// request under the same key.
	Fingerprint uint64 `msgpack:"p"`
	// Release ends the claim with this nonce, as its request did not run.
	Release bool `msgpack:"r"`
}

// Encode returns r as msgpack.
func (r *Record) Encode() []byte {
	b, err := msgpack.Marshal(r)
	bug.Assert(err == nil, bug.Codec, "encode claim record: %v", err)
	return b
}

// Decode decodes a record. Errors are *outcome.Error with the reason bad-request.
func Decode(b []byte) (*Record, error) {
	var r Record
	if err := boundedmsgpack.Unmarshal(b, &r); err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "claim: "+err.Error())
	}
	return &r, nil
}

// PartitionOf returns the partition of a key.
func PartitionOf(key string) int { return int(xxhash.Sum64String(key) % Partitions) }

// FingerprintOf returns a hash of a request's parts.
func FingerprintOf(parts ...[]byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.Write(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Claim is the winning claim of a key.
type Claim struct {
	Nonce       string
	Host        string
	Fingerprint uint64
	Offset      int64
	// Time is when the record was appended, by the log's clock.
	Time time.Time
}

// Config holds the parameters of a Ledger.
type Config struct {
	// Horizon is how long a key is valid after it was issued.
	Horizon time.Duration
	// Skew is the maximum difference between the clocks of issuer, host and log.
	Skew time.Duration
	// Max is the maximum number of claims kept.
	Max int
}

// Ledger is the fold of one claim stream. It is not safe for concurrent use.
type Ledger struct {
	c Config
	// claims holds the winning claim of each key that has not expired.
	claims map[string]Claim
	// byOffset lists the claims in the order of their offsets, for expiry. It may still
	// contain released ones.
	byOffset []expiryEntry
	// next is the offset of the next record to fold.
	next int64
}

// expiryEntry is a claim in the order of expiry; time is when its record was appended, by
// the log's clock.
type expiryEntry struct {
	key   string
	nonce string
	time  time.Time
}

// New returns an empty ledger that starts at offset 0.
func New(c Config) *Ledger { return &Ledger{c: c, claims: make(map[string]Claim)} }

// Next returns the offset of the next record to fold.
func (l *Ledger) Next() int64 { return l.next }

// Len returns the number of claims kept.
func (l *Ledger) Len() int { return len(l.claims) }

// Get returns the winning claim of a key.
func (l *Ledger) Get(key string) (Claim, bool) {
	c, ok := l.claims[key]
	return c, ok
}

// Admit returns an error if a key issued at the given time may not be claimed now. Errors
// are *outcome.Error with the outcome not-run.
func (l *Ledger) Admit(now, issued time.Time) error {
	if now.Sub(issued) > l.c.Horizon {
		return outcome.Refuse(outcome.ReasonKeyTooOld, "issued before the horizon")
	}
	if issued.Sub(now) > l.c.Skew {
		return outcome.Refuse(outcome.ReasonBadRequest, "idempotency key: issued in the future")
	}
	if len(l.claims) >= l.c.Max {
		return outcome.Refuse(outcome.ReasonClaimsFull, "")
	}
	return nil
}

// Apply folds the record at an offset, which was appended at the given time by the log's
// clock. Records before Next have no effect.
func (l *Ledger) Apply(offset int64, at time.Time, r *Record) {
	if offset < l.next {
		return
	}
	l.next = offset + 1
	l.expire(at)
	won, claimed := l.claims[r.Key]
	if r.Release {
		if claimed && won.Nonce == r.Nonce {
			delete(l.claims, r.Key)
		}
		return
	}
	if claimed {
		return
	}
	l.claims[r.Key] = Claim{Nonce: r.Nonce, Host: r.Host, Fingerprint: r.Fingerprint, Offset: offset, Time: at}
	l.byOffset = append(l.byOffset, expiryEntry{r.Key, r.Nonce, at})
}

// SkipTo advances the ledger to an offset, when the log has expired the records before it.
func (l *Ledger) SkipTo(to int64) { l.next = max(l.next, to) }

// expire removes claims whose keys can no longer be valid. The margin of twice the skew
// covers the clock differences from the issuer to the log and from the log to this host.
func (l *Ledger) expire(now time.Time) {
	for len(l.byOffset) > 0 && now.Sub(l.byOffset[0].time) > l.c.Horizon+2*l.c.Skew {
		a := l.byOffset[0]
		l.byOffset = l.byOffset[1:]
		if c, ok := l.claims[a.key]; ok && c.Nonce == a.nonce {
			delete(l.claims, a.key)
		}
	}
}
