package gateway

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/partitionlog"
)

// reach knows whether the log answers this host. It logs one line when a part of the
// log stops to answer, and one when it answers again; what fails in between is
// counted.
type reach struct {
	log     *zap.Logger
	metrics *metrics
	// heard is the reading of boottime at the newest answer.
	heard atomic.Int64
	// away counts the entries of lost, so that an answer need not take the lock.
	away atomic.Int64
	mu   sync.Mutex
	// lost holds the parts of the log that do not answer.
	lost map[string]*loss
}

// loss is the time in which a part of the log does not answer.
type loss struct {
	since    time.Duration
	failures int
}

func newReach(l *zap.Logger, m *metrics) *reach {
	return &reach{log: l, metrics: m, lost: make(map[string]*loss)}
}

// part names a partition as a part of the log.
func part(p partitionlog.Partition) string { return p.Topic + "/" + strconv.Itoa(p.Part) }

// answered takes an answer about a part of the log.
func (r *reach) answered(what string) {
	now := boottime.Now()
	r.heard.Store(int64(now))
	if r.away.Load() == 0 {
		return
	}
	r.mu.Lock()
	l := r.lost[what]
	delete(r.lost, what)
	r.away.Store(int64(len(r.lost)))
	r.mu.Unlock()
	if l != nil {
		r.log.Info("log: in reach again", zap.String("part", what), zap.Duration("after", now-l.since), zap.Int("failures", l.failures))
	}
}

// failed takes the failure of a call about a part of the log.
func (r *reach) failed(topic, what string, err error) {
	r.metrics.logErrors.WithLabelValues(topic).Inc()
	r.mu.Lock()
	l := r.lost[what]
	if l == nil {
		l = &loss{since: boottime.Now()}
		r.lost[what] = l
		r.away.Store(int64(len(r.lost)))
	}
	l.failures++
	first := l.failures == 1
	r.mu.Unlock()
	if first {
		r.log.Warn("log: out of reach", zap.String("part", what), zap.Duration("silent", r.silence()), zap.Error(err))
	}
}

// silence returns for how long no part of the log has answered.
func (r *reach) silence() time.Duration { return boottime.Now() - time.Duration(r.heard.Load()) }
