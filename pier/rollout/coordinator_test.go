package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/outcome"
)

// world drives one step through coordinators that come and go, owners that lose
// streams, and a trainer that loses answers and restarts.
type world struct {
	t   *rapid.T
	now time.Time
	// live are the coordinators that answer; more than one may think it holds the
	// step.
	live   []*Coordinator
	epochs int
	groups []Group
	// streams are those that an owner drives, held the finished samples.
	streams map[Stream]*Work
	held    map[Stream]*Sample
	// The trainer's own record.
	have      Bitmap
	delivered map[Slot]int
	epoch     string
	ack       int64
	stated    bool
	version   Version
	bound     int64
	engine    Version
	whole     bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), streams: make(map[Stream]*Work), held: make(map[Stream]*Sample),
		delivered: make(map[Slot]int), version: 1, engine: 1,
		bound: int64(rapid.IntRange(0, 3).Draw(t, "bound")),
	}
	n := Slot(0)
	for i := range rapid.IntRange(1, 5).Draw(t, "groups") {
		s := rapid.IntRange(1, 4).Draw(t, "samples")
		w.groups = append(w.groups, Group{First: n, Samples: s, Prompt: fmt.Sprint(i), MaxTokens: 20})
		n += Slot(s)
	}
	w.replace()
	return w
}

// coordinator makes a new holder of the step, which asks the owners what they hold.
func (w *world) coordinator() *Coordinator {
	w.epochs++
	c := NewCoordinator(Config{
		Key: StepKey{"t", 1}, Epoch: fmt.Sprintf("e%d", w.epochs), Grace: 10 * time.Second,
		Policy: Policy{Order: OrderLongest, Siblings: true, Spares: 1, SpareAfter: time.Second, Move: true, CancelLate: true, StaleShare: 1},
	})
	require.NoError(w.t, c.Open(w.groups))
	c.Close()
	var running []Work
	for _, x := range w.streams {
		running = append(running, *x)
	}
	var done []*Sample
	for _, x := range w.held {
		done = append(done, x)
	}
	c.Holding(w.now, "h", running, done)
	return c
}

func (w *world) replace() { w.live = []*Coordinator{w.coordinator()} }

// any returns one of the coordinators.
func (w *world) any() *Coordinator {
	return w.live[rapid.IntRange(0, len(w.live)-1).Draw(w.t, "coordinator")]
}

func (w *world) ask() {
	c := w.any()
	o := []Offer{{Server: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(w.t, "server")), Room: rapid.IntRange(1, 4).Draw(w.t, "room"), Version: w.engine, Until: -1}}
	for _, x := range c.Ask(w.now, "h", o) {
		if w.streams[x.Stream] == nil && w.held[x.Stream] == nil {
			w.streams[x.Stream] = &x
		}
	}
	w.cancel(c.Moves(w.now, o))
}

func (w *world) cancel(l []Cancel) {
	for _, x := range l {
		s := w.streams[x.Stream]
		delete(w.streams, x.Stream)
		if s != nil && x.Move {
			for _, c := range w.live {
				c.Failed(x.Stream, 0, s.Resume)
			}
		}
	}
}

// pickStream returns one of the running streams, in a fixed order.
func (w *world) pickStream() *Work {
	var best *Work
	k := rapid.IntRange(0, 9).Draw(w.t, "stream")
	for _, x := range w.streams {
		if best == nil || (x.Slot+Slot(k))%10*100+Slot(x.Attempt) < (best.Slot+Slot(k))%10*100+Slot(best.Attempt) {
			best = x
		}
	}
	return best
}

func (w *world) finish() {
	x := w.pickStream()
	if x == nil {
		return
	}
	m := &Sample{Stream: x.Stream, Server: x.Server, Finish: "stop"}
	if x.Resume != nil {
		m.Segments, m.Tokens = append(m.Segments, x.Resume.Segments...), x.Resume.Tokens
	}
	require.NoError(w.t, m.Extend(m.Tokens, m.Tokens+rapid.IntRange(1, 5).Draw(w.t, "tokens"), w.engine))
	delete(w.streams, x.Stream)
	w.held[x.Stream] = m
	w.cancel(w.any().Seal(w.now, m))
}

func (w *world) fail() {
	x := w.pickStream()
	if x == nil {
		return
	}
	var p *Sample
	if rapid.Bool().Draw(w.t, "partial") {
		p = &Sample{Stream: x.Stream}
		if x.Resume != nil {
			p.Segments, p.Tokens = append(p.Segments, x.Resume.Segments...), x.Resume.Tokens
		}
		require.NoError(w.t, p.Extend(p.Tokens, p.Tokens+1, w.engine))
	}
	delete(w.streams, x.Stream)
	w.any().Failed(x.Stream, 1, p)
}

// resend brings what the owners hold and drive to all coordinators, as they do
// when a coordinator has changed.
func (w *world) resend() {
	for _, c := range w.live {
		for _, x := range w.streams {
			if !c.Adopt(w.now, "h", x.Server, x.Stream) {
				delete(w.streams, x.Stream)
			}
		}
		for _, x := range w.held {
			w.cancel(c.Seal(w.now, x))
		}
	}
}

func (w *world) pull() {
	c := w.any()
	p := &Pull{Epoch: w.epoch, Ack: w.ack, Version: w.version, Max: rapid.IntRange(1, 6).Draw(w.t, "max"), WholeGroups: rapid.Bool().Draw(w.t, "whole-groups")}
	if w.stated {
		p.Have, p.Stated = w.have, true
	}
	b, err := c.Pull(p, w.bound)
	if err != nil {
		require.True(w.t, outcome.Is(err, outcome.ReasonResync), "%v", err)
		w.stated = true
		return
	}
	if b == nil || rapid.IntRange(0, 3).Draw(w.t, "lost") == 0 {
		return
	}
	w.stated = false
	if b.Epoch == w.epoch && b.Seq == w.ack {
		return
	}
	w.epoch, w.ack = b.Epoch, b.Seq
	for _, m := range b.Samples {
		w.delivered[m.Slot]++
		require.Equal(w.t, 1, w.delivered[m.Slot], "slot %d delivered twice", m.Slot)
		require.True(w.t, m.Whole())
		require.LessOrEqual(w.t, int64(w.version-m.Oldest()), w.bound)
		w.have = w.have.With(m.Slot)
	}
	w.whole = w.whole || b.Whole
}

// restart is a trainer whose process began anew from its own record.
func (w *world) restart() { w.epoch, w.ack, w.stated = "", 0, w.have.Len() > 0 }

// check compares the counts of every coordinator with its slots.
func (w *world) check() {
	for _, c := range w.live {
		n := c.Counts()
		require.Equal(w.t, n.Slots, n.Pending+n.Running+n.Sealed+n.Offered+n.Acked, "%+v", n)
		require.GreaterOrEqual(w.t, n.Pending, 0)
		require.Len(w.t, c.running, n.Running)
		q := len(c.urgent)
		for _, g := range c.groups {
			q += len(g.pending)
			require.Equal(w.t, len(g.pending) > 0, g.at >= 0)
		}
		require.Equal(w.t, n.Pending, q)
	}
}

// act does one random thing.
func (w *world) act() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 13).Draw(w.t, "act") {
	case 0, 1, 2:
		w.ask()
	case 3, 4, 5:
		w.finish()
	case 6:
		w.fail()
	case 7, 8:
		w.pull()
	case 9:
		w.version++
	case 10:
		w.engine = w.version
		for _, c := range w.live {
			c.SetVersion(w.version)
			w.cancel(c.Late(w.bound))
		}
	case 11:
		w.replace()
	case 12:
		if len(w.live) < 2 {
			w.live = append(w.live, w.coordinator())
		}
	case 13:
		w.restart()
	}
	for _, c := range w.live {
		c.Tick(w.now)
	}
	w.check()
}

// TestCoordinatorRandom drives a step through coordinators that are replaced or
// doubled, lost answers, failed streams, new versions and trainer restarts. No
// slot is delivered twice or over its bound, and once the faults end the step is
// whole.
func TestCoordinatorRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			w.act()
		}
		w.live = w.live[:1]
		w.engine = w.version
		for range 2000 {
			if w.whole && len(w.delivered) == w.live[0].Counts().Slots {
				return
			}
			w.now = w.now.Add(time.Second)
			w.live[0].Tick(w.now)
			w.resend()
			w.ask()
			w.finish()
			w.pull()
			w.check()
		}
		t.Fatalf("not whole: %+v, delivered %d", w.live[0].Counts(), len(w.delivered))
	})
}

// sealed returns a coordinator with one group whose samples are all sealed at a
// version.
func sealed(t *testing.T, n int, v Version) *Coordinator {
	c := NewCoordinator(Config{Key: StepKey{"t", 1}, Epoch: "e", Grace: time.Second})
	require.NoError(t, c.Open([]Group{{Samples: n, Prompt: "p", MaxTokens: 9}}))
	c.Close()
	for _, x := range c.Ask(time.Unix(1, 0), "h", []Offer{{Server: "s", Room: n, Version: v, Until: -1}}) {
		m := &Sample{Stream: x.Stream}
		require.NoError(t, m.Extend(0, 3, v))
		c.Seal(time.Unix(2, 0), m)
	}
	return c
}

// TestPull covers the ways in which a pull can follow on from another.
func TestPull(t *testing.T) {
	for name, f := range map[string]func(t *testing.T, c *Coordinator){
		"an unacknowledged batch is repeated": func(t *testing.T, c *Coordinator) {
			a, err := c.Pull(&Pull{Max: 2, Version: 1}, 1)
			require.NoError(t, err)
			b, err := c.Pull(&Pull{Max: 4, Version: 1}, 1)
			require.NoError(t, err)
			require.Same(t, a, b)
		},
		"a batch that grew too old is not repeated": func(t *testing.T, c *Coordinator) {
			_, err := c.Pull(&Pull{Max: 2, Version: 1}, 1)
			require.NoError(t, err)
			_, err = c.Pull(&Pull{Max: 2, Version: 3}, 1)
			require.True(t, outcome.Is(err, outcome.ReasonResync))
			b, err := c.Pull(&Pull{Max: 2, Version: 3, Stated: true}, 1)
			require.NoError(t, err)
			require.Nil(t, b)
			require.Equal(t, 4, c.Counts().Dropped)
		},
		"another coordinator's batch asks for the trainer's record": func(t *testing.T, c *Coordinator) {
			_, err := c.Pull(&Pull{Epoch: "other", Ack: 3, Max: 2, Version: 1}, 1)
			require.True(t, outcome.Is(err, outcome.ReasonResync))
			b, err := c.Pull(&Pull{Epoch: "other", Ack: 3, Max: 9, Version: 1, Stated: true, Have: Bitmap{}.With(1)}, 1)
			require.NoError(t, err)
			require.Len(t, b.Samples, 3)
		},
		"another coordinator's batch of the same number acknowledges nothing": func(t *testing.T, c *Coordinator) {
			_, err := c.Pull(&Pull{Max: 2, Version: 1}, 1)
			require.NoError(t, err)
			_, err = c.Pull(&Pull{Epoch: "other", Ack: 1, Max: 2, Version: 1}, 1)
			require.True(t, outcome.Is(err, outcome.ReasonResync))
			require.Zero(t, c.Counts().Acked)
		},
		"a trainer that lost its record gets the samples again": func(t *testing.T, c *Coordinator) {
			b, err := c.Pull(&Pull{Max: 9, Version: 1}, 1)
			require.NoError(t, err)
			_, err = c.Pull(&Pull{Epoch: b.Epoch, Ack: b.Seq, Max: 9, Version: 1}, 1)
			require.NoError(t, err)
			require.Equal(t, 4, c.Counts().Acked)
			_, err = c.Pull(&Pull{Max: 9, Version: 1, Stated: true}, 1)
			require.NoError(t, err)
			require.Equal(t, 4, c.Counts().Pending)
		},
		"whole groups come whole": func(t *testing.T, c *Coordinator) {
			b, err := c.Pull(&Pull{Max: 1, Version: 1, WholeGroups: true}, 1)
			require.NoError(t, err)
			require.Len(t, b.Samples, 4)
		},
	} {
		t.Run(name, func(t *testing.T) { f(t, sealed(t, 4, 1)) })
	}
}

// TestSegments covers what makes a stream's tokens unusable.
func TestSegments(t *testing.T) {
	for name, x := range map[string]struct {
		first, end int
		version    Version
		reason     outcome.Reason
	}{
		"follows on":       {3, 5, 2, ""},
		"gap":              {4, 5, 2, outcome.ReasonTokenGap},
		"overlap":          {2, 5, 2, outcome.ReasonTokenGap},
		"empty":            {3, 3, 2, outcome.ReasonTokenGap},
		"without version":  {3, 5, 0, outcome.ReasonUnversioned},
		"negative version": {3, 5, -1, outcome.ReasonUnversioned},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Sample{}
			require.NoError(t, m.Extend(0, 3, 1))
			err := m.Extend(x.first, x.end, x.version)
			if x.reason == "" {
				require.NoError(t, err)
				require.Equal(t, []Segment{{1, 0, 3}, {2, 3, 5}}, m.Segments)
				require.Equal(t, Version(1), m.Oldest())
				return
			}
			require.True(t, outcome.Is(err, x.reason), "%v", err)
		})
	}
}

// TestOpen covers groups that are refused.
func TestOpen(t *testing.T) {
	for name, x := range map[string]struct {
		g      Group
		reason outcome.Reason
	}{
		"same again":      {Group{First: 0, Samples: 2, Prompt: "p", MaxTokens: 5}, ""},
		"differs":         {Group{First: 0, Samples: 2, Prompt: "q", MaxTokens: 5}, outcome.ReasonConflict},
		"overlaps":        {Group{First: 1, Samples: 2, Prompt: "p", MaxTokens: 5}, outcome.ReasonConflict},
		"no samples":      {Group{First: 9, Samples: 0, Prompt: "p", MaxTokens: 5}, outcome.ReasonBadRequest},
		"no prompt":       {Group{First: 9, Samples: 1, MaxTokens: 5}, outcome.ReasonBadRequest},
		"negative slot":   {Group{First: -1, Samples: 1, Prompt: "p", MaxTokens: 5}, outcome.ReasonBadRequest},
		"too many slots":  {Group{First: MaxSlots - 1, Samples: 2, Prompt: "p", MaxTokens: 5}, outcome.ReasonBadRequest},
		"no tokens":       {Group{First: 9, Samples: 1, Prompt: "p"}, outcome.ReasonBadRequest},
		"a group further": {Group{First: 2, Samples: 2, Prompt: "p", MaxTokens: 5}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCoordinator(Config{Key: StepKey{"t", 1}})
			require.NoError(t, c.Open([]Group{{First: 0, Samples: 2, Prompt: "p", MaxTokens: 5}}))
			err := c.Open([]Group{x.g})
			if x.reason == "" {
				require.NoError(t, err)
				return
			}
			require.True(t, outcome.Is(err, x.reason), "%v", err)
		})
	}
}

// BenchmarkAsk measures one assignment in a step of 16,384 samples.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{2048, 16384, 131072} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var c *Coordinator
			left := 0
			for i := 0; b.Loop(); i++ {
				if left == 0 {
					b.StopTimer()
					c = NewCoordinator(Config{Key: StepKey{"t", 1}, Policy: Policy{Order: OrderLongest, Siblings: true}})
					for j := range n / 16 {
						_ = c.Open([]Group{{First: Slot(j * 16), Samples: 16, Prompt: "p", MaxTokens: 100}})
					}
					left = n
					b.StartTimer()
				}
				c.Ask(time.Unix(1, 0), "h", []Offer{{Server: "s", Room: 1, Until: -1}})
				left--
			}
		})
	}
}
