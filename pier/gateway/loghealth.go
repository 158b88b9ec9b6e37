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
type logHealth struct {
	log     *zap.Logger
	metrics *metrics
	// heard is the reading of boottime at the newest answer.
	heardAt atomic.Int64
	// away counts the entries of lost, so that an answer need not take the lock.
	outageCount atomic.Int64
	mu          sync.Mutex
	// lost holds the parts of the log that do not answer.
	outages map[string]*outage
}

// loss is the time in which a part of the log does not answer.
type outage struct {
	since    time.Duration
	failures int
}

func newLogHealth(l *zap.Logger, m *metrics) *logHealth {
	return &logHealth{log: l, metrics: m, outages: make(map[string]*outage)}
}

// part names a partition as a part of the log.
func partitionName(p partitionlog.Partition) string { return p.Topic + "/" + strconv.Itoa(p.Part) }

// answered takes an answer about a part of the log.
func (r *logHealth) answered(part string) {
	now := boottime.Now()
	r.heardAt.Store(int64(now))
	if r.outageCount.Load() == 0 {
		return
	}
	r.mu.Lock()
	l := r.outages[part]
	delete(r.outages, part)
	r.outageCount.Store(int64(len(r.outages)))
	r.mu.Unlock()
	if l != nil {
		r.log.Info("log: in reach again", zap.String("part", part), zap.Duration("after", now-l.since), zap.Int("failures", l.failures))
	}
}

// failed takes the failure of a call about a part of the log.
func (r *logHealth) failed(topic, part string, err error) {
	r.metrics.logErrors.WithLabelValues(topic).Inc()
	r.mu.Lock()
	l := r.outages[part]
	if l == nil {
		l = &outage{since: boottime.Now()}
		r.outages[part] = l
		r.outageCount.Store(int64(len(r.outages)))
	}
	l.failures++
	first := l.failures == 1
	r.mu.Unlock()
	if first {
		r.log.Warn("log: out of reach", zap.String("part", part), zap.Duration("silent", r.silence()), zap.Error(err))
	}
}

// silence returns for how long no part of the log has answered.
func (r *logHealth) silence() time.Duration { return boottime.Now() - time.Duration(r.heardAt.Load()) }
