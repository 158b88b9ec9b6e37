package gateway

import (
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/partitionlog"
)

// appendQueue appends what this host tells all others to a partition of the log, in order and
// again until it is acknowledged: what waits meanwhile goes into the next append as one record.
// Anything may be appended twice. It is safe for concurrent use.
type appendQueue[T any] struct {
	g  *Gateway
	at partitionlog.Partition
	// maxWaiting bounds the entries that wait for their append; the oldest are dropped.
	// maxAtOnce bounds those of one append.
	maxWaiting, maxAtOnce int
	encode                func(l []T) ([]byte, error)
	// dropped is called for each entry that is dropped.
	dropped func()

	mu      sync.Mutex
	waiting []T
	// appending is set while entries are being appended.
	appending bool
}

// add has an entry appended.
func (q *appendQueue[T]) add(v T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.maxWaiting {
		q.waiting = q.waiting[1:]
		q.dropped()
	}
	q.waiting = append(q.waiting, v)
	if !q.appending {
		q.appending = true
		q.g.wg.Go(q.run)
	}
}

// run appends the waiting entries until there are none.
func (q *appendQueue[T]) run() {
	for q.g.ctx.Err() == nil {
		l := q.take()
		if len(l) == 0 {
			return
		}
		for q.g.ctx.Err() == nil {
			if _, err := q.append(q.g.ctx, l); err == nil {
				break
			}
			backoff.Sleep(q.g.ctx, logRetryDelay)
		}
	}
}

// take removes and returns the entries to append next. If there are none, run ends.
func (q *appendQueue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.waiting), q.maxAtOnce)
	l := slices.Clone(q.waiting[:n])
	q.waiting = q.waiting[n:]
	q.appending = n > 0
	return l
}

// append appends entries as one record and returns its offset. Entries that cannot be encoded
// are dropped.
func (q *appendQueue[T]) append(ctx context.Context, l []T) (int64, error) {
	b, err := q.encode(l)
	if err != nil {
		q.g.log.Error("log: record cannot be encoded; dropped", zap.String("topic", q.at.Topic), zap.Error(err))
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	a, err := q.g.c.Log.Append(ctx, partitionlog.AppendRequest{
		Partition: q.at, Records: [][]byte{b}, ExpectedEnd: partitionlog.NoCondition,
	})
	if err != nil {
		q.g.logHealth.failed(q.at.Topic, partitionName(q.at), err)
		return 0, err
	}
	q.g.logHealth.answered(partitionName(q.at))
	return a.First, nil
}

// hasPending reports whether an append is not acknowledged yet.
func (q *appendQueue[T]) hasPending() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.appending
}
