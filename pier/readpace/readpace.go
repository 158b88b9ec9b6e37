// Package readpace decides in what sizes, and how often, a host asks the log for pages of its
// journal.
//
// It answers this load: many hosts that have just started replay large partitions over small
// links, from a log that serves all of them together at a limited rate. A page that does not
// arrive as a whole in its time was read for nothing. So the next one is smaller, until pages
// arrive; hosts whose pages fail ask less often; and pages grow again while they arrive quickly.
package readpace

import (
	"time"

	"mulberrypier.example/pier/backoff"
)

const (
	// minPageBytes and maxPageBytes bound the size of a page. A log returns at least one record
	// however small a page is asked for.
	minPageBytes = 32 << 10
	maxPageBytes = 512 << 10
	// initialPageBytes is the size of the first page.
	initialPageBytes = 128 << 10
	// quickPart is the part of the time allowed within which a page must arrive for the next one
	// to be larger: twice the size may take twice the time.
	quickPart = 3
	// probation is the number of pages that must arrive quickly after one timed out before pages
	// grow again.
	probation = 8
	// initialDelay and maxDelay bound the delay after a page that failed, before its jitter.
	initialDelay = 150 * time.Millisecond
	maxDelay     = 800 * time.Millisecond
)

// Reason is why a page did not arrive.
type Reason string

const (
	// TimedOut means that the page was not whole in time.
	TimedOut Reason = "timeout"
	// Refused means that the log refused the call, which says nothing of the page's size.
	Refused Reason = "refused"
)

// Pacer paces the reads of one host. It performs no I/O and is not safe for concurrent use.
type Pacer struct {
	// allowed is the time in which a page must arrive.
	allowed time.Duration
	// pageBytes is the size of the next page, within minPageBytes and maxPageBytes.
	pageBytes int
	// toProve is the number of pages that must still arrive quickly before pages grow.
	toProve int
	// random returns a number in [0, 1).
	random func() float64
}

// New returns a Pacer for pages that must arrive within a time. random returns a number in
// [0, 1).
func New(allowed time.Duration, random func() float64) *Pacer {
	return &Pacer{allowed: allowed, pageBytes: initialPageBytes, random: random}
}

// PageBytes returns the size in which to ask for the next page.
func (p *Pacer) PageBytes() int { return p.pageBytes }

// Done records that a page that was asked for in some size, and had n bytes, took some time. A
// page that was not filled tells nothing of larger ones.
func (p *Pacer) Done(asked, n int, took time.Duration) {
	if n < asked/2 || took > p.allowed/quickPart {
		return
	}
	if p.toProve > 0 {
		p.toProve--
		return
	}
	p.pageBytes = max(p.pageBytes, min(2*asked, maxPageBytes))
}

// Failed records that a page that was asked for in some size did not arrive. Of several pages of
// one size that fail together, only the first makes the next ones smaller.
func (p *Pacer) Failed(asked int, r Reason) {
	if r == TimedOut {
		p.toProve = probation
		p.pageBytes = min(p.pageBytes, max(asked/2, minPageBytes))
	}
}

// Delay returns the time to wait before a page is asked for again of which a number of attempts
// in a row failed. Its jitter keeps hosts that failed together from asking again together.
func (p *Pacer) Delay(failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	d := backoff.Exponential(initialDelay, maxDelay, failures-1)
	return d/2 + time.Duration(p.random()*float64(d))
}
