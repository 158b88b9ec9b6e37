package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/stepplan"
)

// Guards against a text that is discarded because a slot at its own software became free between
// the search there and the search elsewhere: it has waited for just this slot.
func TestTextIsKeptWhenItsServerGetsRoomMeanwhile(t *testing.T) {
	tests := map[string]struct {
		// elsewhere is set if a server of another software has a free slot.
		elsewhere bool
	}{
		"no other server":           {false},
		"another server has a slot": {true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g, own := newOneSlotHost(t)
			s, p := brokenSample(g, own)
			u, ok := p.pick("engines", s.d.need(s))
			require.True(t, ok)
			_, ok = p.pick("engines", s.d.need(s))
			require.False(t, ok)
			if c.elsewhere {
				g.registerAll(startSoftware(t, "engines", "2", 1, 0, &cutOnce{}))
			}
			u.release()
			require.Equal(t, c.elsewhere, s.d.startSample(p, s))
			require.Equal(t, !c.elsewhere, s.hasText())
			if c.elsewhere {
				return
			}
			p.full = make(map[slotNeed]bool)
			require.True(t, s.d.startSample(p, s), "the next search finds the slot")
			<-s.d.endedRuns
			require.Equal(t, []string{"s-0@3"}, own.runs())
		})
	}
}

// An engine that holds the version that samples wait for gets a free slot between two searches: no
// other engine is asked for.
func TestNoEngineIsDemandedWhenOneGetsRoomMeanwhile(t *testing.T) {
	g, own := newOneSlotHost(t)
	s, p := brokenSample(g, own)
	u, ok := p.pick("engines", s.d.need(s))
	require.True(t, ok)
	require.False(t, p.hasFree([]string{"engines"}, stepplan.Need{MinVersion: 1}))
	u.release()
	require.False(t, p.hasFree([]string{"engines"}, anyVersion))
	p.full = make(map[slotNeed]bool)
	require.True(t, p.hasFree([]string{"engines"}, anyVersion))
}

// newOneSlotHost returns a host and its only server, an engine with one slot.
func newOneSlotHost(t *testing.T) (*Gateway, *server) {
	t.Helper()
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	own := startSoftware(t, "engines", "1", 1, 0, &cutOnce{})
	own[0].Slots = 1
	g.registerAll(own)
	return g, own[0]
}

// brokenSample returns a sample whose text broke off at a server long ago, and a picker of slots.
func brokenSample(g *Gateway, at *server) (*sample, *slotPicker) {
	step := newStep("s", 1)
	d := newStepDriver(g, route(g), step, g.journal.follow(step.ID))
	s := d.waiting[0]
	for n := range int64(3) {
		if err := s.appendEvent(&event{id: n + 1, data: fmt.Sprint(n+1, " by 1")}, 1); err != nil {
			panic(err)
		}
	}
	s.writer, s.generated, s.brokenAt = at.Runs(), time.Millisecond, time.Now().Add(-time.Second)
	return s, &slotPicker{f: g.fleet, t: g.Table(), model: step.Model, prompt: &promptload.Prompt{}, full: make(map[slotNeed]bool)}
}
