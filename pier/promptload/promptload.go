// Package promptload decides which engines may take a prompt now. An engine reads prompts between the
// tokens of the streams that run there, so that a long one delays all of them. The package performs no I/O.
//
// What is long follows from the load: a prompt is long if it has several times the tokens of the usual one
// and its reading takes so much longer, as measured, that others notice it. While all prompts are alike, or
// short ones, every engine may take each of them.
package promptload

import "time"

const (
	// longFactor is how many times the usual number of tokens a long prompt has at least.
	longFactor = 4
	// minNoticed is the delay of a stream that nobody notices, whatever its pace.
	minNoticed = 10 * time.Millisecond
	// UrgentAfter is how long a prompt is held at most while an engine that reads no long one has room. After
	// that, one may share an engine with another.
	UrgentAfter = 500 * time.Millisecond
	// startAfter is how long a prompt is held at all.
	startAfter = 2 * time.Second
	// similarSpeed is the factor up to which an engine is not much slower than another: short prompts go
	// there rather than behind a long one.
	similarSpeed = 1.2
)

// Prompt is a prompt that is to be read.
type Prompt struct {
	// Tokens is the number of its tokens, 0 if that is not known.
	Tokens int
	// Pace is the time between two events of a stream at the engines, 0 if it is not known.
	Pace time.Duration
	// NoWait is set if the prompt is never held back.
	NoWait bool
	// HeldSince is when the prompt was first held back, zero if it was not. Held is set if it was the last
	// time. Both are set by Allow.
	HeldSince time.Time
	Held      bool
}

// heldFor returns for how long the prompt has been held back.
func (p *Prompt) heldFor(now time.Time) time.Duration {
	switch {
	case p.NoWait:
		return startAfter
	case p.HeldSince.IsZero():
		return 0
	}
	return now.Sub(p.HeldSince)
}

// Engine is an engine that may take a prompt.
type Engine struct {
	ID string
	// Free is set if the engine has room for the prompt.
	Free bool
	// Streams is the number of samples and streams that run there.
	Streams int
	// TokenTime is the time that the engine takes for a token as a multiple of the fastest one's.
	TokenTime float64
	// Allowed is set by Allow.
	Allowed bool
}

// Reason is why a prompt may go to some engines only.
type Reason string

// The reasons.
const (
	// Unchanged prompts may go to any engine.
	Unchanged Reason = "unchanged"
	// AvoidsLong is a short prompt that does not go to engines which read a long one, BehindLong one for which only
	// such engines have room.
	AvoidsLong Reason = "around-long"
	BehindLong Reason = "behind-long"
	// Placed is a long prompt that may go where it puts the fewest streams at risk, Urgent one that was held
	// for UrgentAfter, and Held one that is held back.
	Placed Reason = "long"
	Urgent Reason = "long-urgent"
	Held   Reason = "long-held"
	// Full is a long prompt for which no engine has room.
	Full Reason = "long-no-room"
)

// Book holds what is known of prompts. It is not safe for concurrent use.
type Book struct {
	sizes   sizes
	engines map[string]*engine
	// long is the number of long prompts that are unread, at all engines.
	long int
}

// engine is an engine with unread prompts.
type engine struct {
	// prompts and long are the numbers of unread prompts and of long ones among them, tokens is the sum
	// of their tokens.
	prompts, long, tokens int
	// readAt is when they should have been read.
	readAt time.Time
}

// New returns an empty book.
func New() *Book { return &Book{engines: make(map[string]*engine)} }

// Unread is a prompt that was sent to an engine.
type Unread struct {
	b      *Book
	engine string
	tokens int
	long   bool
	sentAt time.Time
	// gone is set once the prompt was read or has ended.
	gone bool
}

// Sent records that a prompt is sent to an engine. It returns nil for one of unknown size.
func (b *Book) Sent(engineID string, p *Prompt, now time.Time) *Unread {
	if p.Tokens <= 0 {
		return nil
	}
	u := &Unread{b: b, engine: engineID, tokens: p.Tokens, long: b.IsLong(p), sentAt: now}
	b.sizes.add(p.Tokens)
	e := b.engines[engineID]
	if e == nil {
		e = &engine{}
		b.engines[engineID] = e
	}
	e.prompts++
	e.tokens += u.tokens
	if u.long {
		e.long++
		b.long++
	}
	if e.readAt.Before(now) {
		e.readAt = now
	}
	e.readAt = e.readAt.Add(b.sizes.readTime(u.tokens))
	return u
}

// Read records that the engine has sent its first event: the prompt was read. It reports whether a long one
// was.
func (u *Unread) Read(now time.Time) bool {
	if u == nil || u.gone {
		return false
	}
	u.b.sizes.read(u.tokens, now.Sub(u.sentAt))
	return u.End()
}

// End records that the prompt is not read any more. It reports whether a long one was.
func (u *Unread) End() bool {
	if u == nil || u.gone {
		return false
	}
	u.gone = true
	e := u.b.engines[u.engine]
	e.prompts--
	e.tokens -= u.tokens
	if u.long {
		e.long--
		u.b.long--
	}
	if e.prompts == 0 {
		delete(u.b.engines, u.engine)
	}
	return u.long
}

// IsLong reports whether streams at an engine notice the reading of a prompt.
func (b *Book) IsLong(p *Prompt) bool {
	return b.sizes.isLarge(p.Tokens) && b.sizes.certainReadTime(p.Tokens) > max(p.Pace, minNoticed)
}

// UnreadTokens returns the number of unread prompt tokens of an engine.
func (b *Book) UnreadTokens(engineID string) int {
	if e := b.engines[engineID]; e != nil {
		return e.tokens
	}
	return 0
}

// Concerns reports whether a prompt may go to some engines only. Otherwise Allow changes nothing.
func (b *Book) Concerns(p *Prompt) bool { return b.long > 0 || b.IsLong(p) }

// Allow sets which engines may take a prompt now. A long one for which it is better to wait is held: none of
// them may.
func (b *Book) Allow(p *Prompt, l []Engine, now time.Time) Reason {
	p.Held = false
	if !b.IsLong(p) {
		return b.allowShort(l)
	}
	r := b.allowLong(p, l, now)
	if r == Held {
		p.Held = true
		if p.HeldSince.IsZero() {
			p.HeldSince = now
		}
	}
	return r
}

// allowShort allows the engines that read no long prompt, and those that are much faster.
func (b *Book) allowShort(l []Engine) Reason {
	best, free, reading := 0.0, 0, 0
	for i := range l {
		e := &l[i]
		e.Allowed = true
		switch {
		case !e.Free:
		case b.longAt(e.ID) > 0:
			reading++
		default:
			free++
			if free == 1 || e.TokenTime < best {
				best = e.TokenTime
			}
		}
	}
	switch {
	case reading == 0:
		return Unchanged
	case free == 0:
		return BehindLong
	}
	for i := range l {
		e := &l[i]
		e.Allowed = b.longAt(e.ID) == 0 || e.TokenTime*similarSpeed < best
	}
	return AvoidsLong
}

// allowLong allows the engines where a long prompt puts the fewest streams at risk. It is held if all
// engines with room read a long one, or if waiting for one of them harms fewer streams than any other.
func (b *Book) allowLong(p *Prompt, l []Engine, now time.Time) Reason {
	idle, reading, fewest := b.options(p, l, now)
	held := p.heldFor(now)
	switch {
	case !idle.ok && !reading.ok:
		return Full
	case held < UrgentAfter && (!idle.ok || reading.ok && reading.value < idle.value),
		held < startAfter && !idle.ok && fewest.value > 1:
		return Held
	}
	for i := range l {
		e := &l[i]
		n := b.longAt(e.ID)
		if idle.ok {
			e.Allowed = e.Free && n == 0 && b.harm(p, e) <= idle.value
		} else {
			e.Allowed = e.Free && float64(n) <= fewest.value
		}
	}
	if held >= UrgentAfter && !p.NoWait {
		return Urgent
	}
	return Placed
}

// options returns the least harm that a long prompt does at engines that read no other, the least that it
// does at the others once they are waited for, and the fewest long prompts that one of those reads.
func (b *Book) options(p *Prompt, l []Engine, now time.Time) (idle, reading, fewest least) {
	for i := range l {
		e := &l[i]
		e.Allowed = false
		switch n := b.longAt(e.ID); {
		case !e.Free:
		case n == 0:
			idle.add(b.harm(p, e))
		default:
			reading.add(b.harm(p, e) + b.wait(e.ID, now).Seconds())
			fewest.add(float64(n))
		}
	}
	return idle, reading, fewest
}

// harm returns for how long streams at an engine wait for the reading of a prompt, in seconds of all of them
// together.
func (b *Book) harm(p *Prompt, e *Engine) float64 {
	return float64(e.Streams) * e.TokenTime * b.sizes.readTime(p.Tokens).Seconds()
}

// least is the least of some values, if there are any.
type least struct {
	value float64
	ok    bool
}

func (m *least) add(v float64) {
	if !m.ok || v < m.value {
		m.value, m.ok = v, true
	}
}

func (b *Book) longAt(engineID string) int {
	if e := b.engines[engineID]; e != nil {
		return e.long
	}
	return 0
}

// wait returns how long an engine should still read.
func (b *Book) wait(engineID string, now time.Time) time.Duration {
	if e := b.engines[engineID]; e != nil {
		return max(e.readAt.Sub(now), 0)
	}
	return 0
}
