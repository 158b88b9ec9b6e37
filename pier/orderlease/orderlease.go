// Package orderlease implements the lease that decides which host may give orders to
// engines.
//
// The lease is kept in a partition of the log. A host holds it from its own successful
// conditional append until the lease duration, less SafetyMargin, has passed, measured from
// before that append was sent, on a clock that advances while the host is suspended. Another
// host may append only after it has read no record for the lease duration plus SafetyMargin.
// A host that was restarted need not wait for the lease of its previous incarnation to
// expire: that one no longer runs, and its fencing tokens are lower. The fencing token of a
// term is derived from the offset of the term's first record, so it grows from term to term.
package orderlease

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/provider"
	"mulberrypier.example/pier/usage"
)

// Topic is the name of the topic that holds the lease and the orders given under it.
const Topic = "orders"

// SafetyMargin is how long before the end of the lease duration the holder stops giving
// orders. Other hosts wait for the same time after the end of that duration before they
// take the lease. An order in flight must arrive before a successor may send its own.
const SafetyMargin = 400 * time.Millisecond

// MaxSlack bounds Record.Slack.
const MaxSlack = 1200 * time.Millisecond

// Load is an order to a server to load a version of a model.
type Load struct {
	Server  string `msgpack:"s"`
	Model   string `msgpack:"m"`
	Version int64  `msgpack:"v"`
}

// Limit is the limit that a server stated, as its coordinator learnt it (package
// serverlimit).
type Limit struct {
	Server string `msgpack:"s"`
	// Born is when the incarnation of the server started, in nanoseconds since the Unix epoch.
	Born      int64   `msgpack:"b"`
	PerSecond float64 `msgpack:"p"`
	// StatedAgo is the time from the server's statement to the appending of the record.
	StatedAgo time.Duration `msgpack:"a"`
}

// Record is one record of the lease's partition. It takes or renews the lease and may carry
// an order. All hosts read it, so it also tells them of servers' limits.
type Record struct {
	// Holder is the incarnation of the host that appended the record.
	Holder string `msgpack:"h"`
	// HostID identifies the host itself; all of its incarnations have the same one.
	HostID string `msgpack:"n,omitempty"`
	// Append numbers the appends of an incarnation. An append without an answer may be made
	// late, when the incarnation has already sent the next one.
	Append int64 `msgpack:"a,omitempty"`
	// Fence is the fencing token of the term, 0 in the term's first record.
	Fence int64 `msgpack:"f,omitempty"`
	Load  *Load `msgpack:"l,omitempty"`
	// Slack is by how much the order that the record announces may be later than SafetyMargin after
	// the record was sent, since the log is slow to acknowledge it. Others wait for that much longer
	// before they take the lease.
	Slack time.Duration `msgpack:"k,omitempty"`
	// Limits holds limits of servers of which all hosts are to learn.
	Limits []Limit `msgpack:"x,omitempty"`
	// Usage is a usage report that is sent to the provider next. All holders send the same for a window.
	Usage *provider.UsageReport `msgpack:"u,omitempty"`
	// Totals are the requests that the holder itself has counted: they must survive its loss.
	Totals []usage.Total `msgpack:"c,omitempty"`
	// Target is a number of servers that is ordered from the provider next.
	Target *provider.Target `msgpack:"t,omitempty"`
}

// SameAppend reports whether both records are that of one append.
func (r *Record) SameAppend(x *Record) bool {
	return r.Holder == x.Holder && r.Append == x.Append && r.Append != 0
}

// Encode returns the encoded record. An error is an *outcome.Error.
func (r *Record) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "lease record", err)
	}
	return b, nil
}

// Decode decodes a record. It returns an *outcome.Error if b is malformed or names no
// holder.
func Decode(b []byte) (*Record, error) {
	var r Record
	if err := boundedmsgpack.Unmarshal(b, &r); err != nil || r.Holder == "" {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "lease record", err)
	}
	return &r, nil
}

// Config configures a Lease.
type Config struct {
	// Host is the name of this host's incarnation, HostID that of the host itself. At
	// most one incarnation of a host may run at any time.
	Host   string
	HostID string
	// TTL is the lease duration: how long a record keeps other hosts from taking the lease.
	TTL time.Duration
}

// Lease is this host's view of the lease. All points in time are readings of package
// boottime's clock. It performs no I/O and is not safe for concurrent use.
type Lease struct {
	c Config
	// next is the offset to read from, and the end offset that an append requires.
	next int64
	// holder and hostID are the Holder and the HostID of the newest record.
	holder string
	hostID string
	// takeFrom is the time from which on the lease may be taken from another host: the lease duration,
	// SafetyMargin and the record's slack after each of the records was read.
	takeFrom time.Duration
	// fence is the fencing token of this host's latest term, and until the time at which
	// that term ends; 0 if this host does not hold the lease.
	fence int64
	until time.Duration
}

// New returns the view of a host that has read no record yet.
func New(c Config) *Lease { return &Lease{c: c} }

// NextOffset returns the offset to read from, which is also the end offset that an append
// must require.
func (l *Lease) NextOffset() int64 { return l.next }

// Holder returns the incarnation that appended the newest record read: "" if there is none,
// and "unknown" if all records so far had expired before they were read.
func (l *Lease) Holder() string { return l.holder }

// Read processes the record at an offset, which was read at now. Records before NextOffset
// are known already and ignored. A record of another incarnation ends this host's term.
func (l *Lease) Read(offset int64, r *Record, now time.Duration) {
	if offset < l.next {
		return
	}
	l.next, l.holder, l.hostID = offset+1, r.Holder, r.HostID
	l.wait(now + min(max(r.Slack, 0), MaxSlack))
	if r.Holder != l.c.Host {
		l.until = 0
	}
}

// SkipTo moves on to an offset if that lies ahead of NextOffset. It is used when the
// records in between have expired from the log. Their holder is unknown, so the lease
// counts as held from now on.
func (l *Lease) SkipTo(offset int64, now time.Duration) {
	if offset > l.next {
		l.next, l.hostID = offset, ""
		l.wait(now)
		if l.holder == "" {
			l.holder = "unknown"
		}
	}
}

// MayAppend reports whether this host may append a record at now: to renew its lease, to
// take a lease that was never held or has expired, or to take one of which the newest
// record is its own or that of its previous incarnation.
func (l *Lease) MayAppend(now time.Duration) bool {
	if l.Holds(now) || l.next == 0 {
		return true
	}
	if l.OwnsNewest() {
		return true
	}
	return now >= l.takeFrom
}

// wait has this host leave the lease to others until its duration has passed since t.
func (l *Lease) wait(t time.Duration) { l.takeFrom = max(l.takeFrom, t+l.c.TTL+SafetyMargin) }

// HolderHost returns the HostID of the newest record, or "" if it is not known.
func (l *Lease) HolderHost() string { return l.hostID }

// OwnsNewest reports whether the newest record was appended by this host, in this or a
// previous incarnation.
func (l *Lease) OwnsNewest() bool { return l.hostID != "" && l.hostID == l.c.HostID }

// AppendSucceeded processes the success of this host's append, which was sent at sent and
// took the given offset. It starts a new term with a new fencing token unless the lease
// was held when the append was sent.
func (l *Lease) AppendSucceeded(offset int64, sent time.Duration) {
	if l.until == 0 || l.holder != l.c.Host || !l.Holds(sent) {
		l.fence = offset + 1
	}
	bug.Assert(offset >= l.next, bug.MonotoneRevision, "lease record appended at offset %d, before the expected offset %d", offset, l.next)
	l.next, l.holder, l.hostID = offset+1, l.c.Host, l.c.HostID
	l.wait(sent)
	l.until = sent + l.c.TTL - SafetyMargin
}

// Holds reports whether this host holds the lease at now and may give orders.
func (l *Lease) Holds(now time.Duration) bool { return now < l.until }

// Until returns the time at which this host's term ends, 0 if it does not hold the lease.
func (l *Lease) Until() time.Duration { return l.until }

// Fence returns the fencing token of this host's latest term, 0 if it had none.
func (l *Lease) Fence() int64 { return l.fence }
