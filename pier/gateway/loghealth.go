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

// logHealth records whether the log answers this host's calls. It logs one line when a part
// of the log (a topic, partition or group) stops answering and one when it answers again;
// the failures in between are only counted.
type logHealth struct {
	log     *zap.Logger
	metrics *metrics
	// answerAt is the time since boot at the last answer.
	answerAt atomic.Int64
	// outageCount is the length of outages. It lets answered skip the lock while there is
	// no outage.
	outageCount atomic.Int64
	mu          sync.Mutex
	// outages holds the parts of the log that do not answer.
	outages map[string]*outage
}

// outage is a period in which a part of the log does not answer: since is the time since
// boot at the first failed call, failures the number of failed calls.
type outage struct {
	since    time.Duration
	failures int
}

func newLogHealth(l *zap.Logger, m *metrics) *logHealth {
	return &logHealth{log: l, metrics: m, outages: make(map[string]*outage)}
}

// partitionName returns the name of a partition in logHealth and in log lines.
func partitionName(p partitionlog.Partition) string { return p.Topic + "/" + strconv.Itoa(p.Number) }

// answered records a successful call to a part of the log.
func (r *logHealth) answered(part string) {
	now := boottime.Now()
	r.answerAt.Store(int64(now))
	if r.outageCount.Load() == 0 {
		return
	}
	r.mu.Lock()
	l := r.outages[part]
	delete(r.outages, part)
	r.outageCount.Store(int64(len(r.outages)))
	r.mu.Unlock()
	if l != nil {
		r.log.Info("log: in reach again", zap.String("part", part),
			zap.Duration("after", now-l.since), zap.Int("failures", l.failures))
	}
}

// failed records a failed call to a part of the log.
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
		r.log.Warn("log: out of reach", zap.String("part", part),
			zap.Duration("silent", r.silence()), zap.Error(err))
	}
}

// silence returns the time since any part of the log last answered.
func (r *logHealth) silence() time.Duration { return boottime.Now() - time.Duration(r.answerAt.Load()) }
