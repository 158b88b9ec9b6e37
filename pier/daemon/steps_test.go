package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/settings"
)

// Guards against a data race of a cancelled step with the answers of hosts that are asked what they
// hold of it.
func TestStepIsCancelledWhileHeldAnswersArrive(t *testing.T) {
	const slots = 500
	d := New(Config{Settings: &settings.Settings{Name: "h"}, Log: zap.NewNop()})
	defer d.Close()
	k := rollout.StepKey{Trainer: "t", Step: 1}
	p := d.steps.newStep(k)
	require.NoError(t, p.c.Open([]rollout.Group{{Samples: slots, Prompt: "p", MaxTokens: 1}}))
	g := d.steps.trainer(k.Trainer)
	g.steps[k.Step] = p
	begun, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for i := range rollout.Slot(slots) {
			g.mu.Lock()
			p.heldAnswers["other"] = &entryhost.ListHeldAnswer{
				Running: []rollout.Work{{Stream: rollout.Stream{Key: k, Slot: i, Attempt: 1}, Server: "b"}},
			}
			d.steps.applyHeldAnswers(p)
			g.mu.Unlock()
			if i == 0 {
				close(begun)
			}
		}
	}()
	<-begun
	a, err := d.steps.cancel(k)
	require.NoError(t, err)
	require.Equal(t, slots, a.Counts.Slots)
	<-done
}
