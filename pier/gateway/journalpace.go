package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/readpace"
)

// maxPagesAtOnce bounds the pages of partitions that a host replays at the same time: more would
// share its link until none is whole in time.
const maxPagesAtOnce = 3

// journalPace paces the reads of the journal's pages. It is safe for concurrent use.
type journalPace struct {
	// turns holds an entry for each page that is being read to replay a partition.
	turns chan struct{}
	mu    sync.Mutex
	pacer *readpace.Pacer
}

func newJournalPace() *journalPace {
	return &journalPace{
		turns: make(chan struct{}, maxPagesAtOnce), pacer: readpace.New(readSlack, rand.Float64),
	}
}

// takeTurn waits for the turn to read a page. The caller must call endTurn if it returns nil.
func (p *journalPace) takeTurn(ctx context.Context) error {
	select {
	case p.turns <- struct{}{}:
		return nil
	case <-ctx.Done():
		return outcome.Refuse(outcome.ReasonOf(ctx), "turn to read the journal")
	}
}

func (p *journalPace) endTurn() { <-p.turns }

// pageBytes returns the size in which to ask for the next page.
func (p *journalPace) pageBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.PageBytes()
}

// done records that a page of n bytes arrived.
func (p *journalPace) done(asked, n int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Done(asked, n, took)
}

// failed records that a page did not arrive.
func (p *journalPace) failed(asked int, err error) {
	r := readpace.Refused
	if isTimeout(err) {
		r = readpace.TimedOut
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Failed(asked, r)
}

// delay returns the time to wait after a number of pages in a row that failed.
func (p *journalPace) delay(failures int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.Delay(failures)
}
