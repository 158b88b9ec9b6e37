package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// rebuildInterval is the shortest time between two attempts to rebuild a view.
const rebuildInterval = time.Second

// refuseCutOff starts a rebuild of the view, as the newest checkpoint may know the step, and returns the
// refusal of a call for a step that is cut off.
func (v *view) refuseCutOff(step string) error {
	v.startRebuild()
	return outcome.Refuse(outcome.ReasonLogDown, step).After(unavailableRetryAfter)
}

// startRebuild starts to rebuild the view, unless that is under way or was begun less than
// rebuildInterval ago.
func (v *view) startRebuild() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	if v.rebuilding || now < v.rebuildAfter || v.j.g.ctx.Err() != nil {
		return
	}
	v.rebuilding, v.rebuildAfter = true, now+rebuildInterval
	v.j.g.wg.Go(func() {
		if err := v.rebuild(v.j.g.ctx); err != nil {
			v.j.g.log.Debug("journal: view cannot be rebuilt", zap.Int("part", v.n), zap.Error(err))
		}
		v.mu.Lock()
		v.rebuilding = false
		v.mu.Unlock()
	})
}

// rebuild replaces the state of a view that skipped records by the newest checkpoint and all later
// records, once these reach the view's position. It fails if some of them are not in the log any more.
func (v *view) rebuild(ctx context.Context) error {
	_, b, err := v.readCheckpoint(ctx)
	if err != nil {
		return err
	}
	if b == nil {
		return outcome.Refuse(outcome.ReasonLogDown, "no checkpoint")
	}
	f := stepjournal.NewFold(stepjournal.FoldConfig{Now: boottime.Now})
	if err := f.Restore(b, v.n); err != nil {
		return err
	}
	for {
		end, err := v.foldPage(ctx, f)
		if err != nil {
			return err
		}
		if v.replaceFold(f, end) {
			return nil
		}
	}
}

// foldPage applies the next page of records to f and returns the end of the partition.
func (v *view) foldPage(ctx context.Context, f *stepjournal.Fold) (end int64, err error) {
	endTurn, err := v.j.pace.takeTurn(ctx, false)
	if err != nil {
		return 0, err
	}
	defer endTurn()
	p, err := v.fetch(ctx, pageReplay, partitionlog.ReadRequest{From: f.Next, MaxBytes: v.j.pace.pageBytes()})
	if err != nil {
		return 0, err
	}
	for _, b := range p.Records {
		if err := f.Apply(b); err != nil {
			v.j.g.unreadable.skipped(stepjournal.Topic, err, zap.Int("part", v.n), zap.Int64("offset", f.Next-1))
		}
	}
	f.DropExpired(p.First, p.End)
	return p.End, nil
}

// replaceFold replaces the view's state by f, which has skipped nothing. It returns false if f is behind
// that state.
func (v *view) replaceFold(f *stepjournal.Fold, end int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if f.Next < v.fold.Next {
		return false
	}
	v.fold = f
	v.end = max(v.end, end)
	v.notifyChanged()
	v.j.g.metrics.checkpoints.WithLabelValues("rebuilt").Inc()
	v.j.g.log.Info("journal: view rebuilt from the newest checkpoint", zap.Int("part", v.n), zap.Int64("next", f.Next))
	return true
}
