package daemon

import (
	"sync"
	"time"

	"mulberrypier.example/pier/claim"
	"mulberrypier.example/pier/entryhost"
)

// execution is a claimed call that this host executes or has executed.
type execution struct {
	// done is closed once answer or err is set.
	done        chan struct{}
	answer      *entryhost.CallAnswer
	err         error
	fingerprint uint64
	nonce       string
	startedAt   time.Time
}

// partition holds the claim.Ledger of one partition and this host's calls in it.
type partition struct {
	number int
	mu     sync.Mutex
	ledger *claim.Ledger
	// executions holds the calls of this host by idempotency key, both in progress
	// and answered.
	executions map[string]*execution
	// queue holds the records that wait while an append is in progress.
	queue       []*pendingAppend
	flushing    bool
	lastUsed    time.Time
	answerBytes int64
	// abandoned holds the nonces of claims of this host whose call was never run,
	// because the log did not confirm the append in time. Such a claim may still be
	// in the log.
	abandoned map[string]bool
}

// expire removes the answers of keys that are past the horizon. p.mu must be held.
func (p *partition) expire(now time.Time, horizon time.Duration) {
	for k, e := range p.executions {
		if isClosed(e.done) && now.Sub(e.startedAt) > horizon+2*maxClockSkew {
			p.dropAnswer(k, e)
		}
	}
}

// dropAnswer removes an answer from memory; the claim stays in the log. p.mu must
// be held.
func (p *partition) dropAnswer(key string, e *execution) {
	if e.answer != nil {
		p.answerBytes -= int64(len(e.answer.Body))
	}
	delete(p.executions, key)
}

// partition returns the partition of an idempotency key and creates it if needed.
func (c *claims) partition(key string) *partition {
	number := claim.PartitionOf(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.partitions[number]
	if p == nil {
		p = &partition{
			number:     number,
			executions: make(map[string]*execution),
			abandoned:  make(map[string]bool),
			ledger: claim.New(claim.Config{
				Horizon: c.d.s.Timing.KeyHorizon.D(),
				Skew:    maxClockSkew,
				Max:     c.d.s.Limits.ClaimsPerPartition,
			}),
		}
		c.partitions[number] = p
	}
	return p
}

// abandon records that the call of a claim will not be run.
func (p *partition) abandon(nonce string) {
	p.mu.Lock()
	p.abandoned[nonce] = true
	p.mu.Unlock()
}

// reuseAbandoned lets a call run under an earlier claim of this host that was
// abandoned, and reports whether it may. The claim was never used, so the call
// still runs at most once.
func (p *partition) reuseAbandoned(nonce string, e *execution) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.abandoned[nonce] {
		return false
	}
	delete(p.abandoned, nonce)
	e.nonce = nonce
	return true
}
