package gateway

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/serverlimit"
)

// limits holds the limits that backend servers state in their answers. It is safe for
// concurrent use.
type limits struct {
	g  *Gateway
	mu sync.Mutex
	// mu guards the fields below.
	book *serverlimit.Book
	// sent counts the requests that this host has sent to each server with a limit since the
	// limit was stated, by purpose.
	sent map[serverlimit.Server]map[backend.Purpose]int
}

func newLimits(g *Gateway) *limits {
	return &limits{
		g: g, book: serverlimit.NewBook(),
		sent: make(map[serverlimit.Server]map[backend.Purpose]int),
	}
}

// limitKey returns the incarnation that a request is meant for.
func limitKey(q *backend.Request) serverlimit.Server {
	return serverlimit.Server{ID: q.Server, Born: q.Born.UnixNano()}
}

// observe applies an answer to a request that was sent at sent. fields holds the header
// fields that state a limit.
func (l *limits) observe(q *backend.Request, fields []string, sent time.Duration) {
	s := limitKey(q)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(fields) == 0 && l.book.Len() == 0 {
		return
	}
	before, known := l.book.Limit(s)
	if known && sent > before.StatedAt {
		l.count(s, q.Purpose)
	}
	c, err := l.book.Observe(s, fields, sent, boottime.Now())
	if err != nil {
		l.g.metrics.limits.WithLabelValues("malformed").Inc()
		l.g.log.Warn("servers: stated limit cannot be read", zap.String("server", s.ID),
			zap.Strings("fields", shortened(fields)), zap.Error(err))
	}
	l.changed(s, c, before)
}

// count counts a request that was sent to a server after it had stated a limit. The caller
// holds mu.
func (l *limits) count(s serverlimit.Server, p backend.Purpose) {
	if l.sent[s] == nil {
		l.sent[s] = make(map[backend.Purpose]int)
	}
	l.sent[s][p]++
	l.g.metrics.limited.WithLabelValues(string(p)).Inc()
}

// changed logs a change of a server's limit. The caller holds mu.
func (l *limits) changed(s serverlimit.Server, c serverlimit.Change, before serverlimit.Limit) {
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
func (l *limits) sentText(s serverlimit.Server) string {
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
