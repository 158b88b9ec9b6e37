package serverlimit

import (
	"time"

	"mulberrypier.example/pier/directory"
)

const (
	// burst is the time for which a server's unused capacity can be used up later.
	burst = 250 * time.Millisecond
	// leastPerSecond is the lowest rate at which requests are granted, whatever the limit: a
	// server that gets no request cannot state that its limit has ended.
	leastPerSecond = 0.2
	// mostPerSecond bounds the rate, so that the interval between two requests is not zero.
	mostPerSecond = 1e6
	// bucketMaxIdle is how long a bucket is kept after its last use.
	bucketMaxIdle = time.Minute
)

// Ask is a host's question whether it may send a request to a server with a limit.
type Ask struct {
	Server directory.Incarnation
	// Limit is the limit that the host knows.
	Limit Limit
	// MaxWait is how long the request may wait before it is sent.
	MaxWait time.Duration
}

// Grant is the answer to an Ask.
type Grant struct {
	// Granted reports whether the request may be sent, after Wait. Otherwise Wait is the time
	// until a request without MaxWait would be granted, if no other came before.
	Granted bool
	Wait    time.Duration
}

// Buckets grants the requests of all hosts to the servers that this host coordinates. It is
// not safe for concurrent use.
type Buckets struct {
	buckets map[directory.Incarnation]*bucket
}

// bucket is the token bucket of one server.
type bucket struct {
	limit Limit
	// next is when the next request may be sent; it may lie before the current time by up
	// to burst.
	next time.Duration
	// interval is the time between two requests.
	interval time.Duration
	usedAt   time.Duration
}

// NewBuckets returns an empty set of buckets.
func NewBuckets() *Buckets { return &Buckets{buckets: make(map[directory.Incarnation]*bucket)} }

// Ask answers a host. share is the part of the limit that this host may grant, as
// Roster.Share returns it.
func (l *Buckets) Ask(q Ask, share float64, now time.Duration) Grant {
	b := l.buckets[q.Server]
	if b == nil {
		l.removeIdle(now)
		b = &bucket{limit: q.Limit, next: now}
		l.buckets[q.Server] = b
	}
	b.usedAt = now
	if q.Limit.StatedAt > b.limit.StatedAt {
		b.limit = q.Limit
	}
	b.setInterval(interval(b.limit, share), now)
	return b.ask(q.MaxWait, now)
}

// removeIdle removes the buckets that were not used for bucketMaxIdle.
func (l *Buckets) removeIdle(now time.Duration) {
	for s, b := range l.buckets {
		if now-b.usedAt > bucketMaxIdle {
			delete(l.buckets, s)
		}
	}
}

// setInterval sets the time between two requests. When it becomes shorter, the next request
// waits no longer than the new one requires.
func (b *bucket) setInterval(d, now time.Duration) {
	if d < b.interval {
		b.next = min(b.next, now+d)
	}
	b.interval = d
}

func (b *bucket) ask(maxWait, now time.Duration) Grant {
	next := max(b.next, now-burst)
	wait := max(next-now, 0)
	if wait > maxWait {
		return Grant{Wait: wait}
	}
	b.next = next + b.interval
	return Grant{Granted: true, Wait: wait}
}

// interval returns the time between two requests.
func interval(l Limit, share float64) time.Duration {
	r := min(max(l.PerSecond*share, leastPerSecond), mostPerSecond)
	return time.Duration(float64(time.Second) / r)
}
