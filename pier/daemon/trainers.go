package daemon

import (
	"context"
	"time"

	"github.com/kataras/iris/v12"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/trainer"
)

const (
	// pullWaitMost bounds how long a pull is held.
	pullWaitMost = 30 * time.Second
	// pullSlack is how long a pull may take beyond its wait.
	pullSlack = 3 * time.Second
	// openLimit is how long a coordinator may take to open groups.
	openLimit = 10 * time.Second
)

// stepKey returns the step that a request's path names.
func stepKey(c iris.Context) rollout.StepKey {
	return rollout.StepKey{Trainer: c.Params().Get("trainer"), Step: c.Params().GetInt64Default("step", 0)}
}

// coordinator sends a request to the host that coordinates a step. A host that
// cannot be reached is replaced within seconds: until the context's end the
// request goes to whoever holds the role by then.
func (d *Daemon) coordinator(ctx context.Context, k rollout.StepKey, kind peer.Kind, q, r any) error {
	var last error
	for {
		id, err := d.steps.holderOf(k.Trainer)
		if err == nil {
			err = d.call(ctx, id, kind, q, r)
		}
		if err == nil || !moved(outcome.From(err)) {
			return err
		}
		d.metrics.retry("coordinator", err)
		last = err
		backoff.For(ctx, 100*time.Millisecond)
		if ctx.Err() != nil {
			return last
		}
	}
}

// openStep adds groups to a step.
func (d *Daemon) openStep(c iris.Context, _ string) error {
	var q trainer.OpenRequest
	if err := readJSON(c, &q); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), openLimit)
	defer cancel()
	k := stepKey(c)
	var a entryhost.StepAnswer
	m := &entryhost.StepOpenRequest{Key: k, Groups: q.Groups, Close: q.Close}
	if err := d.coordinator(ctx, k, entryhost.StepOpen, m, &a); err != nil {
		return err
	}
	return answerJSON(c, &trainer.StepAnswer{Epoch: a.Epoch, Coordinator: a.Holder, Counts: a.Counts})
}

// pullStep hands samples over.
func (d *Daemon) pullStep(c iris.Context, _ string) error {
	var q trainer.PullRequest
	if err := readJSON(c, &q); err != nil {
		return err
	}
	w := min(time.Duration(q.WaitMS)*time.Millisecond, pullWaitMost)
	ctx, cancel := context.WithTimeout(c.Request().Context(), w+pullSlack)
	defer cancel()
	k := stepKey(c)
	p := q.Pull
	p.Wait = w
	var a entryhost.StepPullAnswer
	if err := d.coordinator(ctx, k, entryhost.StepPull, &entryhost.StepPullRequest{Key: k, Pull: p}, &a); err != nil {
		return err
	}
	if a.Batch == nil {
		c.StatusCode(iris.StatusNoContent)
		return nil
	}
	return answerJSON(c, a.Batch)
}

// showStep returns a step's counts.
func (d *Daemon) showStep(c iris.Context, _ string) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), openLimit)
	defer cancel()
	k := stepKey(c)
	var a entryhost.StepAnswer
	if err := d.coordinator(ctx, k, entryhost.StepStatus, &entryhost.StepRequest{Key: k}, &a); err != nil {
		return err
	}
	return answerJSON(c, &trainer.StepAnswer{Epoch: a.Epoch, Coordinator: a.Holder, Counts: a.Counts})
}

// cancelStep ends a step.
func (d *Daemon) cancelStep(c iris.Context, _ string) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), openLimit)
	defer cancel()
	k := stepKey(c)
	var a entryhost.StepAnswer
	if err := d.coordinator(ctx, k, entryhost.StepCancel, &entryhost.StepRequest{Key: k}, &a); err != nil {
		return err
	}
	return answerJSON(c, &trainer.StepAnswer{Epoch: a.Epoch, Coordinator: a.Holder, Counts: a.Counts})
}

// publishWeights takes a new version of a trainer's weights.
func (d *Daemon) publishWeights(c iris.Context, _ string) error {
	var q trainer.WeightsRequest
	if err := readJSON(c, &q); err != nil {
		return err
	}
	if err := d.steps.publish(c.Params().Get("trainer"), q.Version); err != nil {
		return err
	}
	return answerJSON(c, &q)
}
