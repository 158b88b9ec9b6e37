// Package claim decides which request with an idempotency key may run.
//
// A claim is a record in the platform's log, in the stream of the key's
// partition. The first claim of a key by offset wins; a claim that turned out
// not to run is released by a second record. Ledger is the pure fold of one
// partition: every host that reads the stream decides the same.
package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
)

// Partitions is the number of claim streams.
const Partitions = 64

// Record is one record of a claim stream.
type Record struct {
	Key string `msgpack:"k"`
	// Nonce is unique for each claim; Host is the process that made it.
	Nonce string `msgpack:"n"`
	Host  string `msgpack:"h"`
	// Print is a hash of the request, to tell a repeated key from a reused one.
	Print uint64 `msgpack:"p"`
	// Release gives the claim with this nonce back, as its request did not run.
	Release bool `msgpack:"r"`
}

// Encode returns r as msgpack.
func (r *Record) Encode() []byte {
	b, err := msgpack.Marshal(r)
	bug.Assert(err == nil, bug.Codec, "claim: %v", err)
	return b
}

// Decode reads a record. An error is an *outcome.Error.
func Decode(b []byte) (*Record, error) {
	var r Record
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "claim: "+err.Error())
	}
	return &r, nil
}

// PartitionOf returns the partition of a key.
func PartitionOf(key string) int { return int(xxhash.Sum64String(key) % Partitions) }

// PrintOf returns the hash of a request's parts.
func PrintOf(parts ...[]byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.Write(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Claim is the claim in force of a key.
type Claim struct {
	Nonce  string
	Host   string
	Print  uint64
	Offset int64
	// Time is when the log took the record.
	Time time.Time
}

// Config constructs a Ledger.
type Config struct {
	// Horizon is how long a key is valid after it was issued.
	Horizon time.Duration
	// Skew is how far the clocks of issuer, host and log may be apart.
	Skew time.Duration
	// Max is the greatest number of claims kept.
	Max int
}

// Ledger is the fold of one claim stream. Not safe for concurrent use.
type Ledger struct {
	c Config
	// claims holds the winner of each key that is not expired.
	claims map[string]Claim
	// order lists keys by the offset of their claim, the oldest first.
	order []aged
	next  int64
}

type aged struct {
	key   string
	nonce string
	time  time.Time
}

// New returns the ledger before the first record.
func New(c Config) *Ledger { return &Ledger{c: c, claims: make(map[string]Claim)} }

// Next returns the offset of the first record that is not folded in.
func (l *Ledger) Next() int64 { return l.next }

// Len returns the number of claims kept.
func (l *Ledger) Len() int { return len(l.claims) }

// Get returns the claim in force of a key.
func (l *Ledger) Get(key string) (Claim, bool) {
	c, ok := l.claims[key]
	return c, ok
}

// Admit reports whether a key issued at a time may be claimed now. Errors are
// *outcome.Error and not-run.
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

// Apply folds in the record at an offset. Records before Next have no effect.
func (l *Ledger) Apply(offset int64, at time.Time, r *Record) {
	if offset < l.next {
		return
	}
	l.next = offset + 1
	l.expire(at)
	o, held := l.claims[r.Key]
	if r.Release {
		if held && o.Nonce == r.Nonce {
			delete(l.claims, r.Key)
		}
		return
	}
	if held {
		return
	}
	l.claims[r.Key] = Claim{Nonce: r.Nonce, Host: r.Host, Print: r.Print, Offset: offset, Time: at}
	l.order = append(l.order, aged{r.Key, r.Nonce, at})
}

// Skip treats all records before an offset as expired.
func (l *Ledger) Skip(to int64) { l.next = max(l.next, to) }

// expire drops claims whose keys cannot be valid any longer.
func (l *Ledger) expire(now time.Time) {
	for len(l.order) > 0 && now.Sub(l.order[0].time) > l.c.Horizon+2*l.c.Skew {
		a := l.order[0]
		l.order = l.order[1:]
		if c, ok := l.claims[a.key]; ok && c.Nonce == a.nonce {
			delete(l.claims, a.key)
		}
	}
}
