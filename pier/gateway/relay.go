package gateway

import (
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/stepjournal"
)

// A host that is cut off from the log alone still reaches the engines and the other
// hosts. It goes on with its steps, and the hosts that watch over them append its
// records: they ask a step's driver several times a second anyway. A record may so
// be appended twice, of which the fold takes the first.

const (
	// relayAfter is how long records may wait for the log before others append them.
	relayAfter = 500 * time.Millisecond
	// relayAgain is when records that were handed to another host are handed out
	// again: that host may be gone.
	relayRetryAfter = 3 * time.Second
	// relayBytes bounds the records of one answer.
	maxRelayBytes = 256 << 10
	// watchedFor is how long a step counts as watched after the last question.
	watchedTimeout = 2 * time.Second
)

// stuck returns records that wait for the log, and whether there are any at all.
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

// stuckOf returns the records of the steps' partitions that wait for the log, and
// for each step whether its partition has any.
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

// relay appends the records of a host that is cut off from the log.
func (w *watch) relay(a drivingAnswer) {
	for n, l := range a.Records {
		if n < 0 || n >= w.g.s.Log.Partitions {
			w.g.log.Warn("watch: records of an unknown partition", zap.String("host", a.Host), zap.Int("part", n))
			continue
		}
		v := w.g.journal.view(n)
		for _, b := range l {
			if err := stepjournal.Check(b); err != nil {
				w.g.log.Warn("watch: record cannot be read", zap.String("host", a.Host), zap.Int("part", n), zap.Error(err))
				continue
			}
			v.post(b)
		}
		w.g.metrics.relayed.Add(float64(len(l)))
		w.g.log.Info("watch: appends for a host that is cut off", zap.String("host", a.Host), zap.Int("part", n), zap.Int("records", len(l)))
	}
}
