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
	// again holds an entry for the one of them whose partition failed before.
	again chan struct{}
	mu    sync.Mutex
	pacer *readpace.Pacer
}

func newJournalPace() *journalPace {
	return &journalPace{
		turns: make(chan struct{}, maxPagesAtOnce), again: make(chan struct{}, 1),
		pacer: readpace.New(readSlack, rand.Float64),
	}
}

// takeTurn waits for the turn to read a page, and returns the function that ends it. failing is set
// for a partition whose last page failed: of those, one page is read at a time, so that partitions
// that the log does not serve leave turns to the others.
func (p *journalPace) takeTurn(ctx context.Context, failing bool) (end func(), err error) {
	if !failing {
		return enter(ctx, p.turns)
	}
	endAgain, err := enter(ctx, p.again)
	if err != nil {
		return nil, err
	}
	endTurn, err := enter(ctx, p.turns)
	if err != nil {
		endAgain()
		return nil, err
	}
	return func() { endTurn(); endAgain() }, nil
}

// enter adds an entry to a channel that bounds them, and returns the function that removes it.
func enter(ctx context.Context, c chan struct{}) (leave func(), err error) {
	select {
	case c <- struct{}{}:
		return func() { <-c }, nil
	case <-ctx.Done():
		return nil, outcome.Refuse(outcome.ReasonOf(ctx), "turn to read the journal")
	}
}

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
