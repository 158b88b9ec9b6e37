package gateway

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
)

// unreadableLogInterval is the time between two log lines on records of one topic that cannot be
// read.
const unreadableLogInterval = 10 * time.Second

// errNoKey is the error of a record of a keyed topic that has no key.
var errNoKey = errors.New("record without key")

// unreadable reports records of the log that cannot be read. It is safe for concurrent use.
type unreadable struct {
	g  *Gateway
	mu sync.Mutex
	// topics holds the topics with such records.
	topics map[string]*unreadableTopic
}

// unreadableTopic tells when a line was last logged, and how many records were skipped since.
type unreadableTopic struct {
	loggedAt time.Time
	since    int
}

func newUnreadable(g *Gateway) *unreadable {
	return &unreadable{g: g, topics: make(map[string]*unreadableTopic)}
}

// skipped counts a record that is skipped. The first one is logged, and then one of those in each
// unreadableLogInterval: whoever writes such a record may write many.
func (u *unreadable) skipped(topic string, err error, fields ...zap.Field) {
	u.g.metrics.unreadable.WithLabelValues(topic).Inc()
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.topics[topic]
	if t == nil {
		t = &unreadableTopic{}
		u.topics[topic] = t
	}
	if now.Sub(t.loggedAt) < unreadableLogInterval {
		t.since++
		return
	}
	f := []zap.Field{zap.String("topic", topic), zap.Int("skipped-since", t.since), zap.Error(err)}
	u.g.log.Warn("log: record cannot be read; skipped", append(f, fields...)...)
	t.loggedAt, t.since = now, 0
}
