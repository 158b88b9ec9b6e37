// Package bytebudget bounds the memory that the contents of requests and answers take, by their
// bytes and not by their number.
package bytebudget

import "sync/atomic"

// Budget is a number of bytes that may be in use at the same time. It is safe for concurrent use.
type Budget struct{ left atomic.Int64 }

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Take takes bytes from the budget. It returns false, and takes none, if fewer are left. To take none
// always succeeds.
func (b *Budget) Take(bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	for {
		left := b.left.Load()
		if left < bytes {
			return false
		}
		if b.left.CompareAndSwap(left, left-bytes) {
			return true
		}
	}
}

// Charge takes bytes also if fewer are left, for what is in memory already. Take then returns false
// until enough was given back.
func (b *Budget) Charge(bytes int64) { b.left.Add(-bytes) }

// Give returns bytes that were taken.
func (b *Budget) Give(bytes int64) { b.left.Add(bytes) }

// Left returns the number of bytes that may still be taken.
func (b *Budget) Left() int64 { return b.left.Load() }
