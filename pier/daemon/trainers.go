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
	// maxPullWait bounds how long a pull may wait for samples.
	maxPullWait = 30 * time.Second
	// pullSlack is how long a pull may take beyond its wait.
	pullSlack = 3 * time.Second
	// stepRequestTimeout bounds requests that open, show or cancel a step.
	stepRequestTimeout = 10 * time.Second
)

// stepKey returns the step named in the path of a request.
func stepKey(c iris.Context) rollout.StepKey {
	return rollout.StepKey{Trainer: c.Params().Get("trainer"), Step: c.Params().GetInt64Default("step", 0)}
}

// callCoordinator sends a request to the host that coordinates a step. An
// unreachable coordinator is replaced within seconds, so until ctx ends the request
// is retried with whichever host holds the role by then.
func (d *Daemon) callCoordinator(ctx context.Context, k rollout.StepKey, kind peer.Kind, q, r any) error {
	var last error
	for {
		id, err := d.steps.coordinatorFor(k.Trainer)
		if err == nil {
			err = d.call(ctx, id, kind, q, r)
		}
		if err == nil || !isRoutingError(outcome.AsError(err)) {
			return err
		}
		d.metrics.retry("coordinator", err)
		last = err
		backoff.Sleep(ctx, 100*time.Millisecond)
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
	ctx, cancel := context.WithTimeout(c.Request().Context(), stepRequestTimeout)
	defer cancel()
	k := stepKey(c)
	var a entryhost.StepAnswer
	m := &entryhost.StepOpenRequest{Key: k, Groups: q.Groups, Close: q.Close}
	if err := d.callCoordinator(ctx, k, entryhost.StepOpen, m, &a); err != nil {
		return err
	}
	return respondJSON(c, &trainer.StepAnswer{Epoch: a.Epoch, Coordinator: a.CoordinatorID, Counts: a.Counts})
}

// pullStep hands finished samples to the trainer. It answers with no content if
// none are ready within the wait.
func (d *Daemon) pullStep(c iris.Context, _ string) error {
	var q trainer.PullRequest
	if err := readJSON(c, &q); err != nil {
		return err
	}
	w := min(time.Duration(q.WaitMS)*time.Millisecond, maxPullWait)
	ctx, cancel := context.WithTimeout(c.Request().Context(), w+pullSlack)
	defer cancel()
	k := stepKey(c)
	p := q.Pull
	p.Wait = w
	var a entryhost.StepPullAnswer
	if err := d.callCoordinator(ctx, k, entryhost.StepPull, &entryhost.StepPullRequest{Key: k, Pull: p}, &a); err != nil {
		return err
	}
	if a.Batch == nil {
		c.StatusCode(iris.StatusNoContent)
		return nil
	}
	return respondJSON(c, a.Batch)
}

// showStep returns the counts of a step.
func (d *Daemon) showStep(c iris.Context, _ string) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), stepRequestTimeout)
	defer cancel()
	k := stepKey(c)
	var a entryhost.StepAnswer
	if err := d.callCoordinator(ctx, k, entryhost.StepStatus, &entryhost.StepRequest{Key: k}, &a); err != nil {
		return err
	}
	return respondJSON(c, &trainer.StepAnswer{Epoch: a.Epoch, Coordinator: a.CoordinatorID, Counts: a.Counts})
}

// cancelStep cancels a step.
func (d *Daemon) cancelStep(c iris.Context, _ string) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), stepRequestTimeout)
	defer cancel()
	k := stepKey(c)
	var a entryhost.StepAnswer
	if err := d.callCoordinator(ctx, k, entryhost.StepCancel, &entryhost.StepRequest{Key: k}, &a); err != nil {
		return err
	}
	return respondJSON(c, &trainer.StepAnswer{Epoch: a.Epoch, Coordinator: a.CoordinatorID, Counts: a.Counts})
}

// publishWeights announces a new version of a trainer's weights.
func (d *Daemon) publishWeights(c iris.Context, _ string) error {
	var q trainer.WeightsRequest
	if err := readJSON(c, &q); err != nil {
		return err
	}
	if err := d.steps.publish(c.Params().Get("trainer"), q.Version); err != nil {
		return err
	}
	return respondJSON(c, &q)
}
