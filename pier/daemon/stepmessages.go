package daemon

import (
	"context"
	"time"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
)

// notifyHosts notifies all live hosts that a trainer has work and, unless v is 0,
// a new version.
func (s *steps) notifyHosts(t *release.Trainer, v rollout.Version) {
	for _, m := range s.d.members.live() {
		go func() {
			ctx, cancel := context.WithTimeout(s.d.ctx, time.Second)
			defer cancel()
			if err := s.d.call(ctx, m.ID, entryhost.Wake, &entryhost.WakeRequest{Trainer: t.Name, Version: v}, nil); err != nil {
				s.d.metrics.retry("wake", err)
			}
		}()
	}
}

// releaseAll tells all live hosts that a step has ended.
func (s *steps) releaseAll(k rollout.StepKey) {
	for _, m := range s.d.members.live() {
		go s.sendRelease(m.ID, &entryhost.ReleaseSamplesRequest{Key: k, All: true})
	}
}

// sendRelease asks one host to drop samples of a step. A failure is only counted.
func (s *steps) sendRelease(id string, q *entryhost.ReleaseSamplesRequest) {
	ctx, cancel := context.WithTimeout(s.d.ctx, 2*time.Second)
	defer cancel()
	if err := s.d.call(ctx, id, entryhost.ReleaseSamples, q, nil); err != nil {
		s.d.metrics.retry("release", err)
	}
}

// cancelAll asks the owners to cancel streams that are no longer needed or have to
// move.
func (s *steps) cancelAll(l []rollout.Cancel) {
	for _, c := range l {
		go func() {
			ctx, cancel := context.WithTimeout(s.d.ctx, 2*time.Second)
			defer cancel()
			q := &entryhost.CancelStreamRequest{Server: c.Server, Stream: c.Stream, Move: c.Move}
			if err := s.d.call(ctx, c.Host, entryhost.CancelStream, q, nil); err != nil {
				s.d.metrics.retry("cancel", err)
			}
		}()
	}
}
