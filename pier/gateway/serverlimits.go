package gateway

import (
	"fmt"
	"maps"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/serverlimit"
)

// limits holds the limits that backend servers state in their answers. It is safe for
// concurrent use.
type limits struct {
	g *Gateway
	// known is the number of limits in book. It spares requests the lock while there is none.
	known atomic.Int64
	// hosts is the number of hosts in roster: those that hold partitions.
	hosts atomic.Int64
	mu    sync.Mutex
	// mu guards the fields below.
	book *serverlimit.Book
	// sent counts the requests that this host has sent to each server with a limit since the
	// limit was stated, by purpose.
	sent map[directory.Incarnation]map[backend.Purpose]int
	// roster holds the hosts that hold partitions, from among which the coordinators come;
	// rosterRead is closed when the reading of the list in progress
	// has ended, nil if there is none.
	roster     *serverlimit.Roster
	rosterRead chan struct{}
	// rosterFails is set if the list could not be read the last time.
	rosterFails bool
	// buckets grants the requests to the servers that this host coordinates; shares holds
	// the last part of each server's limit that it granted.
	buckets *serverlimit.Buckets
	shares  map[directory.Incarnation]float64
	// announced holds the last notice of each server's limit that this host had sent.
	announced map[directory.Incarnation]announcement
	// goneAt holds since when servers with a limit are not registered.
	goneAt map[directory.Incarnation]time.Duration
	// asking is the number of requests of this host that ask for a permit, by server.
	asking map[directory.Incarnation]int
	// failedAt holds when a coordinator last did not answer.
	failedAt map[netip.AddrPort]time.Duration
}

func newLimits(g *Gateway) *limits {
	return &limits{
		g: g, book: serverlimit.NewBook(),
		sent: make(map[directory.Incarnation]map[backend.Purpose]int), roster: serverlimit.NewRoster(g.hostID()),
		buckets: serverlimit.NewBuckets(), shares: make(map[directory.Incarnation]float64),
		asking:    make(map[directory.Incarnation]int),
		announced: make(map[directory.Incarnation]announcement),
		goneAt:    make(map[directory.Incarnation]time.Duration),
		failedAt:  make(map[netip.AddrPort]time.Duration),
	}
}

// wait reports whether a server has a limit, and for how long no request to it is granted
// as far as this host knows.
func (l *limits) wait(s directory.Server) (limited bool, d time.Duration) {
	if l.known.Load() == 0 {
		return false, 0
	}
	k := s.Incarnation()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, limited = l.book.Limit(k); !limited {
		return false, 0
	}
	return true, l.book.Wait(k, boottime.Now())
}

// full reports whether no request to a server is granted at the moment.
func (l *limits) full(s directory.Server) bool {
	_, d := l.wait(s)
	return d > 0
}

// limitMemory is how long the limit of a server that is not registered is kept: its registration may
// have lapsed while it could not reach the log.
const limitMemory = 2 * time.Minute

// retain forgets the limits of servers that have not been registered for limitMemory. known holds
// those that are, by ID.
func (l *limits) retain(known map[string]directory.Server) {
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	gone := func(s directory.Incarnation) bool {
		if _, ok := known[s.ID]; ok {
			delete(l.goneAt, s)
			return false
		}
		if _, ok := l.goneAt[s]; !ok {
			l.goneAt[s] = now
		}
		return now-l.goneAt[s] > limitMemory
	}
	l.book.Retain(func(s directory.Incarnation) bool { return !gone(s) })
	l.known.Store(int64(l.book.Len()))
	maps.DeleteFunc(l.sent, func(s directory.Incarnation, _ map[backend.Purpose]int) bool { return gone(s) })
	maps.DeleteFunc(l.shares, func(s directory.Incarnation, _ float64) bool { return gone(s) })
	maps.DeleteFunc(l.announced, func(s directory.Incarnation, _ announcement) bool { return gone(s) })
	maps.DeleteFunc(l.goneAt, func(_ directory.Incarnation, at time.Duration) bool { return now-at > limitMemory })
}

// limitKey returns the incarnation that a request is meant for.
func limitKey(q *backend.Request) directory.Incarnation {
	return directory.Incarnation{ID: q.Server, Born: q.Born.UnixNano()}
}

// observe applies an answer to a request. fields holds the header fields that state a limit.
func (l *limits) observe(q *backend.Request, a backend.Admission, fields []string) {
	if len(fields) == 0 && l.known.Load() == 0 {
		return
	}
	s := limitKey(q)
	l.mu.Lock()
	defer l.mu.Unlock()
	before, _ := l.book.Limit(s)
	if a.Limited {
		l.count(s, q.Purpose)
	}
	c, err := l.book.Observe(s, fields, a.At, boottime.Now())
	l.known.Store(int64(l.book.Len()))
	if err != nil {
		l.g.metrics.limits.WithLabelValues("malformed").Inc()
		l.g.log.Warn("servers: stated limit cannot be read", zap.String("server", s.ID),
			zap.Strings("fields", shortened(fields)), zap.Error(err))
	}
	l.changed(s, c, before)
	if c == serverlimit.Ended {
		go l.tellEnd(s, a.At)
	}
}

// count counts a request that was sent to a server after it had stated a limit. The caller
// holds mu.
func (l *limits) count(s directory.Incarnation, p backend.Purpose) {
	if l.sent[s] == nil {
		l.sent[s] = make(map[backend.Purpose]int)
	}
	l.sent[s][p]++
	l.g.metrics.limited.WithLabelValues(string(p)).Inc()
}

// changed logs a change of a server's limit. The caller holds mu.
func (l *limits) changed(s directory.Incarnation, c serverlimit.Change, before serverlimit.Limit) {
	if c == serverlimit.Unchanged {
		return
	}
	l.g.metrics.limits.WithLabelValues(string(c)).Inc()
	now, _ := l.book.Limit(s)
	l.g.log.Info("servers: limit "+string(c), zap.String("server", s.ID),
		zap.Float64("per-second", now.PerSecond), zap.Float64("before", before.PerSecond),
		zap.String("sent", l.sentText(s)))
	if c == serverlimit.Ended {
		delete(l.sent, s)
	}
}

// sentText returns the numbers of requests sent to a server since its limit was stated, as
// purpose=number, separated by spaces. The caller holds mu.
func (l *limits) sentText(s directory.Incarnation) string {
	var r []string
	for p, n := range l.sent[s] {
		r = append(r, fmt.Sprintf("%s=%d", p, n))
	}
	sort.Strings(r)
	return strings.Join(r, " ")
}

// shortened returns the beginnings of the first header fields, for a log line.
func shortened(fields []string) []string {
	const most, bytes = 3, 40
	var r []string
	for _, f := range fields[:min(len(fields), most)] {
		r = append(r, f[:min(len(f), bytes)])
	}
	return r
}
