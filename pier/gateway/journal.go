package gateway

import (
	"sync"
	"time"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// appendTimeout bounds the time of an append to the journal.
	appendTimeout = 1500 * time.Millisecond
	// maxAppendBytes bounds the total size of the records of one append. While appends fail it is
	// less, down to minAppendBytes.
	maxAppendBytes = 512 << 10
	minAppendBytes = 16 << 10
	// maxCacheBytes bounds the total size of the records that are cached for trainers to read.
	maxCacheBytes = 768 << 10
	// maxAppendBackoff bounds the backoff between attempts to append.
	maxAppendBackoff = 600 * time.Millisecond
)

// journal is this host's view of the partitions that hold the steps' records.
type journal struct {
	g  *Gateway
	mu sync.Mutex
	// views holds the views by partition. A view is created at its first use and kept.
	views map[int]*view
	cache *cache
	pace  *journalPace
}

func newJournal(g *Gateway) *journal {
	return &journal{
		g: g, views: make(map[int]*view), cache: newCache(maxCacheBytes), pace: newJournalPace(),
	}
}

// follow returns the view of a step's partition and keeps it following the log.
func (j *journal) follow(step string) *view {
	v := j.get(step)
	v.use()
	return v
}

// get returns the view of a step's partition, whether it follows the log or not.
func (j *journal) get(step string) *view {
	return j.view(stepjournal.PartitionOf(step, j.g.s.Log.Partitions))
}

// following returns the view of a step's partition. ok is true if it follows the log and
// knows the step; it is then kept following.
func (j *journal) following(step string) (*view, bool) {
	v := j.get(step)
	v.mu.Lock()
	ok := v.running && v.fold.Step(step) != nil
	v.mu.Unlock()
	if ok {
		v.use()
	}
	return v, ok
}

// followPartition returns the view of a partition and keeps it following the log.
func (j *journal) followPartition(n int) *view {
	v := j.view(n)
	v.use()
	return v
}

func (j *journal) view(n int) *view {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.views[n]
	if v == nil {
		v = &view{
			j: j, n: n, reading: make(chan struct{}, 1), fold: stepjournal.NewFold(stepjournal.FoldConfig{Now: boottime.Now}),
			end: -1, changed: make(chan struct{}), checkpoint: newCheckpointing(j.g.s.Log.Retention.D()),
			pages: make(map[int64]*pageRead),
		}
		j.views[n] = v
	}
	return v
}
