// Package orderlease decides which host may give orders to engines.
//
// The lease is a partition of the log. A host holds it from its own conditional
// append until the lease time has passed, counted from before that append was
// sent, on a clock that goes on during suspension. Another host may append only
// when it has read no record for the whole lease time. A host that was started again
// need not wait for its former self, which is gone and whose fencing numbers are
// lower. The offset of a term's first record is its fencing number.
package orderlease

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
)

// Topic holds the lease and the orders given under it.
const Topic = "orders"

// Margin is how much earlier than the lease time a holder stops: an order under
// way must arrive before a successor may send its own.
const Margin = 400 * time.Millisecond

// Load is an order to load a version of a model.
type Load struct {
	Server  string `msgpack:"s"`
	Model   string `msgpack:"m"`
	Version int64  `msgpack:"v"`
}

// Record is one entry of the lease's partition: a renewal, with an order or
// without one.
type Record struct {
	Holder string `msgpack:"h"`
	// Machine tells incarnations of one host from other hosts.
	Machine string `msgpack:"n,omitempty"`
	// Fence is the term's fencing number, 0 in the term's first record.
	Fence int64 `msgpack:"f,omitempty"`
	Load  *Load `msgpack:"l,omitempty"`
}

// Encode returns the record as it is appended.
func (r *Record) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonBadRequest, "lease record", err)
	}
	return b, nil
}

// Decode reads a record.
func Decode(b []byte) (*Record, error) {
	var r Record
	if err := msgpack.Unmarshal(b, &r); err != nil || r.Holder == "" {
		return nil, outcome.RefuseFor(outcome.ReasonBadRequest, "lease record", err)
	}
	return &r, nil
}

// Config constructs a Lease.
type Config struct {
	// Host is the name of this host's incarnation, Machine that of the host itself:
	// at most one incarnation of it runs at any time.
	Host    string
	Machine string
	// TTL is how long a record keeps others from taking the lease.
	TTL time.Duration
}

// Lease is this host's view of the lease. All times are readings of boottime.
// It has no I/O and is not safe for concurrent use.
type Lease struct {
	c Config
	// next is the offset to read, and the condition of an append.
	next    int64
	holder  string
	machine string
	// heard is when the newest record was read.
	heard time.Duration
	// fence and until belong to this host's own term; until 0 means none.
	fence int64
	until time.Duration
}

// New returns the view of a host that has read nothing yet.
func New(c Config) *Lease { return &Lease{c: c} }

// Next returns the offset to read from, which is also the append's condition.
func (l *Lease) Next() int64 { return l.next }

// Holder returns the host of the newest record.
func (l *Lease) Holder() string { return l.holder }

// Read takes the record at an offset, read at now. Records before Next are known.
func (l *Lease) Read(offset int64, r *Record, now time.Duration) {
	if offset < l.next {
		return
	}
	l.next, l.holder, l.machine, l.heard = offset+1, r.Holder, r.Machine, now
	if r.Holder != l.c.Host {
		l.until = 0
	}
}

// SkipTo goes on at an offset whose predecessors are no longer kept.
func (l *Lease) SkipTo(offset int64, now time.Duration) {
	if offset > l.next {
		l.next, l.heard, l.machine = offset, now, ""
		if l.holder == "" {
			l.holder = "unknown"
		}
	}
}

// MayAppend reports whether an append is allowed at now: to renew this host's
// lease, or to take one that has lapsed or is this host's own.
func (l *Lease) MayAppend(now time.Duration) bool {
	if l.Holds(now) || l.next == 0 {
		return true
	}
	if l.Own() {
		return true
	}
	return now-l.heard >= l.c.TTL+Margin
}

// Own reports whether the newest record is this host's, be it of a former self.
func (l *Lease) Own() bool { return l.machine != "" && l.machine == l.c.Machine }

// Appended takes the success of this host's append, sent at sent.
func (l *Lease) Appended(offset int64, sent time.Duration) {
	if l.until == 0 || l.holder != l.c.Host || !l.Holds(sent) {
		l.fence = offset + 1
	}
	bug.Assert(offset >= l.next, bug.MonotoneRevision, "lease appended at %d before %d", offset, l.next)
	l.next, l.holder, l.machine, l.heard = offset+1, l.c.Host, l.c.Machine, sent
	l.until = sent + l.c.TTL - Margin
}

// Holds reports whether this host may give an order at now.
func (l *Lease) Holds(now time.Duration) bool { return now < l.until }

// Fence returns the fencing number of this host's term.
func (l *Lease) Fence() int64 { return l.fence }
