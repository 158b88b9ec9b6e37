package gateway

import (
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/stepjournal"
)

// A host that loses its connection to the log alone still reaches the engines and the other
// hosts. It continues to run its steps, and the hosts that watch those steps append its
// records for it: they query a step's driver several times a second anyway. A record may
// therefore be appended twice; the fold of the log keeps the first.

const (
	// relayAfter is how long records may wait for the log before they are given to other
	// hosts to append.
	relayAfter = 500 * time.Millisecond
	// relayRetryAfter is the time after which records that were given to another host are
	// given out again, since that host may be lost.
	relayRetryAfter = 3 * time.Second
	// maxRelayBytes bounds the size of the records of one partition in one answer.
	maxRelayBytes = 256 << 10
	// watchedTimeout is how long a step counts as watched after the last query for it.
	watchedTimeout = 2 * time.Second
)

// relayable returns queued records for another host to append, if none was acknowledged for
// relayAfter. waiting reports whether any record is queued at all.
func (v *view) relayable(now time.Time) (records [][]byte, waiting bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.flushing || now.Sub(v.progressAt) < relayAfter {
		return nil, v.flushing
	}
	if v.relayed > 0 && now.Sub(v.relayedAt) > relayRetryAfter {
		v.relayed = 0
	}
	n, size := min(v.relayed, len(v.queue)), 0
	from := n
	for n < len(v.queue) && (n == from || size+len(v.queue[n]) <= maxRelayBytes) {
		size += len(v.queue[n])
		n++
	}
	if n == from {
		return nil, true
	}
	v.relayed, v.relayedAt = n, now
	return v.queue[from:n:n], true
}

// relayableFor returns the records to relay, by partition, for the partitions of the given
// steps. waiting reports for each step whether its partition has any unacknowledged
// records.
func (j *journal) relayableFor(steps []string, now time.Time) (records map[int][][]byte, waiting []bool) {
	records = make(map[int][][]byte)
	seen := make(map[int]bool)
	for _, id := range steps {
		v := j.get(id)
		if _, ok := seen[v.n]; !ok {
			b, w := v.relayable(now)
			if len(b) > 0 {
				records[v.n] = b
			}
			seen[v.n] = w
		}
		waiting = append(waiting, seen[v.n])
	}
	return records, waiting
}

// relay appends the records of a host that cannot reach the log.
func (w *watch) relay(a drivingAnswer) {
	for n, l := range a.Records {
		if n < 0 || n >= w.g.s.Log.Partitions {
			w.g.log.Warn("watch: records to relay name an unknown partition; skipped",
				zap.String("host", a.Host), zap.Int("part", n))
			continue
		}
		v := w.g.journal.view(n)
		for _, b := range l {
			if err := stepjournal.CheckRecord(b); err != nil {
				w.g.log.Warn("watch: record to relay cannot be decoded; skipped",
					zap.String("host", a.Host), zap.Int("part", n), zap.Error(err))
				continue
			}
			v.post(b)
		}
		w.g.metrics.relayed.Add(float64(len(l)))
		w.g.log.Info("watch: relaying records of a host that cannot reach the log",
			zap.String("host", a.Host), zap.Int("part", n), zap.Int("records", len(l)))
	}
}
