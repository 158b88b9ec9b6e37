package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/outcome"
)

// simulation drives one step through coordinators that are replaced, owners that lose
// streams, and a trainer that loses answers and restarts.
type simulation struct {
	t   *rapid.T
	now time.Time
	// coordinators are those that respond. There may be two that both act as the step's
	// coordinator.
	coordinators []*Coordinator
	epochs       int
	groups       []Group
	// streams holds the streams that owners drive; finished holds the samples that they keep.
	streams  map[Stream]*Work
	finished map[Stream]*Sample
	// The trainer's state. stateHave is set when the next pull has to state have; complete is
	// set once the last batch has been read.
	have          Bitmap
	delivered     map[Slot]int
	epoch         string
	ack           int64
	stateHave     bool
	version       Version
	bound         int64
	engineVersion Version
	complete      bool
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1000, 0), streams: make(map[Stream]*Work), finished: make(map[Stream]*Sample),
		delivered: make(map[Slot]int), version: 1, engineVersion: 1,
		bound: int64(rapid.IntRange(0, 3).Draw(t, "bound")),
	}
	n := Slot(0)
	for i := range rapid.IntRange(1, 5).Draw(t, "groups") {
		s := rapid.IntRange(1, 4).Draw(t, "samples")
		w.groups = append(w.groups, Group{First: n, Samples: s, Prompt: fmt.Sprint(i), MaxTokens: 20})
		n += Slot(s)
	}
	w.replaceCoordinator()
	return w
}

// newCoordinator returns a new coordinator of the step that has asked the owners what they
// hold.
func (w *simulation) newCoordinator() *Coordinator {
	w.epochs++
	c := NewCoordinator(Config{
		Key: StepKey{"t", 1}, Epoch: fmt.Sprintf("e%d", w.epochs), Grace: 10 * time.Second,
		Policy: Policy{
			Order: OrderLongest, Siblings: true, Spares: 1, SpareAfter: time.Second, Move: true,
			CancelLate: true, StaleShare: 1,
		},
	})
	require.NoError(w.t, c.Open(w.groups))
	c.Close()
	var running []Work
	for _, x := range w.streams {
		running = append(running, *x)
	}
	var done []*Sample
	for _, x := range w.finished {
		done = append(done, x)
	}
	c.AddHeld(w.now, "h", running, done)
	return c
}

// replaceCoordinator replaces all coordinators by a new one.
func (w *simulation) replaceCoordinator() { w.coordinators = []*Coordinator{w.newCoordinator()} }

// pickCoordinator returns one of the coordinators at random.
func (w *simulation) pickCoordinator() *Coordinator {
	return w.coordinators[rapid.IntRange(0, len(w.coordinators)-1).Draw(w.t, "coordinator")]
}

// assignWork offers a server to a coordinator and starts the streams that it assigns.
func (w *simulation) assignWork() {
	c := w.pickCoordinator()
	o := []Offer{{
		Server:    fmt.Sprint("s", rapid.IntRange(0, 2).Draw(w.t, "server")),
		FreeSlots: rapid.IntRange(1, 4).Draw(w.t, "room"), Version: w.engineVersion, SecondsToLoad: -1,
	}}
	for _, x := range c.Assign(w.now, "h", o) {
		if w.streams[x.Stream] == nil && w.finished[x.Stream] == nil {
			w.streams[x.Stream] = &x
		}
	}
	w.cancel(c.Moves(w.now, o))
}

// cancel stops streams. Those to be moved are reported as failed, with the tokens that they
// had resumed from.
func (w *simulation) cancel(l []Cancel) {
	for _, x := range l {
		s := w.streams[x.Stream]
		delete(w.streams, x.Stream)
		if s != nil && x.Move {
			for _, c := range w.coordinators {
				c.StreamFailed(x.Stream, 0, s.Resume)
			}
		}
	}
}

// pickStream returns one of the running streams, independently of map order, or nil.
func (w *simulation) pickStream() *Work {
	var best *Work
	k := rapid.IntRange(0, 9).Draw(w.t, "stream")
	for _, x := range w.streams {
		if best == nil || (x.Slot+Slot(k))%10*100+Slot(x.Attempt) < (best.Slot+Slot(k))%10*100+Slot(best.Attempt) {
			best = x
		}
	}
	return best
}

// finishStream finishes one of the running streams and reports its sample to a coordinator.
func (w *simulation) finishStream() {
	x := w.pickStream()
	if x == nil {
		return
	}
	m := &Sample{Stream: x.Stream, Server: x.Server, Finish: "stop"}
	if x.Resume != nil {
		m.Segments, m.Tokens = append(m.Segments, x.Resume.Segments...), x.Resume.Tokens
	}
	require.NoError(w.t, m.Extend(m.Tokens, m.Tokens+rapid.IntRange(1, 5).Draw(w.t, "tokens"), w.engineVersion))
	delete(w.streams, x.Stream)
	w.finished[x.Stream] = m
	w.cancel(w.pickCoordinator().Seal(m))
}

// failStream ends one of the running streams without a sample, with or without partial tokens.
func (w *simulation) failStream() {
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
		require.NoError(w.t, p.Extend(p.Tokens, p.Tokens+1, w.engineVersion))
	}
	delete(w.streams, x.Stream)
	w.pickCoordinator().StreamFailed(x.Stream, 1, p)
}

// resend reports all streams and finished samples of the owners to all coordinators, as owners
// do when the coordinator has changed.
func (w *simulation) resend() {
	for _, c := range w.coordinators {
		for _, x := range w.streams {
			if !c.Adopt(w.now, "h", x.Server, x.Stream) {
				delete(w.streams, x.Stream)
			}
		}
		for _, x := range w.finished {
			w.cancel(c.Seal(x))
		}
	}
}

// pull runs a pull of the trainer and checks the batch. Some answers are lost on the way.
func (w *simulation) pull() {
	c := w.pickCoordinator()
	p := &Pull{
		Epoch: w.epoch, Ack: w.ack, Version: w.version,
		Max:         rapid.IntRange(1, 6).Draw(w.t, "max"),
		WholeGroups: rapid.Bool().Draw(w.t, "whole-groups"),
	}
	if w.stateHave {
		p.Have, p.HaveStated = w.have, true
	}
	b, err := c.Pull(p, w.bound)
	if err != nil {
		require.True(w.t, outcome.HasReason(err, outcome.ReasonResync), "%v", err)
		w.stateHave = true
		return
	}
	if b == nil || rapid.IntRange(0, 3).Draw(w.t, "lost") == 0 {
		return
	}
	w.stateHave = false
	if b.Epoch == w.epoch && b.Seq == w.ack {
		return
	}
	w.epoch, w.ack = b.Epoch, b.Seq
	for _, m := range b.Samples {
		w.delivered[m.Slot]++
		require.Equal(w.t, 1, w.delivered[m.Slot], "slot %d delivered twice", m.Slot)
		require.True(w.t, m.Complete())
		require.LessOrEqual(w.t, int64(w.version-m.Oldest()), w.bound)
		w.have = w.have.With(m.Slot)
	}
	w.complete = w.complete || b.Complete
}

// restartTrainer restarts the trainer's process, which knows only the slots that it has.
func (w *simulation) restartTrainer() { w.epoch, w.ack, w.stateHave = "", 0, w.have.Len() > 0 }

// checkCounts compares the counts of every coordinator with its slots.
func (w *simulation) checkCounts() {
	for _, c := range w.coordinators {
		n := c.Counts()
		require.Equal(w.t, n.Slots, n.Pending+n.Running+n.Sealed+n.Offered+n.Acked, "%+v", n)
		require.GreaterOrEqual(w.t, n.Pending, 0)
		require.Len(w.t, c.running, n.Running)
		q := len(c.awaitingExpress)
		for _, g := range c.groups {
			q += len(g.pending)
			require.Equal(w.t, len(g.pending) > 0, g.heapIndex >= 0)
		}
		require.Equal(w.t, n.Pending, q)
	}
}

// randomAction advances the time and performs one random action.
func (w *simulation) randomAction() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 13).Draw(w.t, "act") {
	case 0, 1, 2:
		w.assignWork()
	case 3, 4, 5:
		w.finishStream()
	case 6:
		w.failStream()
	case 7, 8:
		w.pull()
	case 9:
		w.version++
	case 10:
		w.engineVersion = w.version
		for _, c := range w.coordinators {
			c.SetVersion(w.version)
			w.cancel(c.CancelOverdue(w.bound))
		}
	case 11:
		w.replaceCoordinator()
	case 12:
		if len(w.coordinators) < 2 {
			w.coordinators = append(w.coordinators, w.newCoordinator())
		}
	case 13:
		w.restartTrainer()
	}
	for _, c := range w.coordinators {
		c.Tick(w.now)
	}
	w.checkCounts()
}

// TestCoordinatorRandom drives a step through replaced and duplicate coordinators, lost
// answers, failed streams, new versions and trainer restarts. No slot is delivered twice or
// over the staleness bound, and once the faults end the step completes.
func TestCoordinatorRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			w.randomAction()
		}
		w.coordinators = w.coordinators[:1]
		w.engineVersion = w.version
		for range 2000 {
			if w.complete && len(w.delivered) == w.coordinators[0].Counts().Slots {
				return
			}
			w.now = w.now.Add(time.Second)
			w.coordinators[0].Tick(w.now)
			w.resend()
			w.assignWork()
			w.finishStream()
			w.pull()
			w.checkCounts()
		}
		t.Fatalf("step not complete: %+v, delivered %d", w.coordinators[0].Counts(), len(w.delivered))
	})
}

// sealedCoordinator returns a coordinator of one group of n samples, all sealed at version v.
func sealedCoordinator(t *testing.T, n int, v Version) *Coordinator {
	c := NewCoordinator(Config{Key: StepKey{"t", 1}, Epoch: "e", Grace: time.Second})
	require.NoError(t, c.Open([]Group{{Samples: n, Prompt: "p", MaxTokens: 9}}))
	c.Close()
	for _, x := range c.Assign(time.Unix(1, 0), "h", []Offer{{Server: "s", FreeSlots: n, Version: v, SecondsToLoad: -1}}) {
		m := &Sample{Stream: x.Stream}
		require.NoError(t, m.Extend(0, 3, v))
		c.Seal(m)
	}
	return c
}

// TestPull checks how a pull may follow on from an earlier one.
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
			require.True(t, outcome.HasReason(err, outcome.ReasonResync))
			b, err := c.Pull(&Pull{Max: 2, Version: 3, HaveStated: true}, 1)
			require.NoError(t, err)
			require.Nil(t, b)
			require.Equal(t, 4, c.Counts().Dropped)
		},
		"another coordinator's batch asks for the trainer's record": func(t *testing.T, c *Coordinator) {
			_, err := c.Pull(&Pull{Epoch: "other", Ack: 3, Max: 2, Version: 1}, 1)
			require.True(t, outcome.HasReason(err, outcome.ReasonResync))
			b, err := c.Pull(&Pull{
				Epoch: "other", Ack: 3, Max: 9, Version: 1, HaveStated: true,
				Have: Bitmap{}.With(1),
			}, 1)
			require.NoError(t, err)
			require.Len(t, b.Samples, 3)
		},
		"another coordinator's batch of the same number acknowledges nothing": func(t *testing.T, c *Coordinator) {
			_, err := c.Pull(&Pull{Max: 2, Version: 1}, 1)
			require.NoError(t, err)
			_, err = c.Pull(&Pull{Epoch: "other", Ack: 1, Max: 2, Version: 1}, 1)
			require.True(t, outcome.HasReason(err, outcome.ReasonResync))
			require.Zero(t, c.Counts().Acked)
		},
		"a trainer that lost its record gets the samples again": func(t *testing.T, c *Coordinator) {
			b, err := c.Pull(&Pull{Max: 9, Version: 1}, 1)
			require.NoError(t, err)
			_, err = c.Pull(&Pull{Epoch: b.Epoch, Ack: b.Seq, Max: 9, Version: 1}, 1)
			require.NoError(t, err)
			require.Equal(t, 4, c.Counts().Acked)
			_, err = c.Pull(&Pull{Max: 9, Version: 1, HaveStated: true}, 1)
			require.NoError(t, err)
			require.Equal(t, 4, c.Counts().Pending)
		},
		"whole groups come whole": func(t *testing.T, c *Coordinator) {
			b, err := c.Pull(&Pull{Max: 1, Version: 1, WholeGroups: true}, 1)
			require.NoError(t, err)
			require.Len(t, b.Samples, 4)
		},
	} {
		t.Run(name, func(t *testing.T) { f(t, sealedCoordinator(t, 4, 1)) })
	}
}

// TestSegments checks which token ranges may extend a sample.
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
			require.True(t, outcome.HasReason(err, x.reason), "%v", err)
		})
	}
}

// TestOpen checks which groups are refused.
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
			require.True(t, outcome.HasReason(err, x.reason), "%v", err)
		})
	}
}

// BenchmarkAsk measures one assignment in steps of 2,048 to 131,072 samples.
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
				c.Assign(time.Unix(1, 0), "h", []Offer{{Server: "s", FreeSlots: 1, SecondsToLoad: -1}})
				left--
			}
		})
	}
}
