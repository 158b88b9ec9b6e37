package daemon

import (
	"context"
	"time"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
)

const (
	// wakeTimeout bounds the time to tell a host of new work or of a version.
	wakeTimeout = time.Second
	// dropTimeout bounds the time to have a host drop samples or cancel a stream.
	dropTimeout = 2 * time.Second
)

// notifyHosts notifies all live hosts that a trainer has work and, unless v is 0,
// a new version.
func (s *steps) notifyHosts(t *release.Trainer, v rollout.Version) {
	q := &entryhost.WakeRequest{Trainer: t.Name, Version: v}
	for _, m := range s.d.members.live() {
		go s.send(m.ID, entryhost.Wake, q, wakeTimeout, "wake")
	}
}

// releaseAll tells all live hosts that a step has ended.
func (s *steps) releaseAll(k rollout.StepKey) {
	for _, m := range s.d.members.live() {
		go s.sendRelease(m.ID, &entryhost.ReleaseSamplesRequest{Key: k, All: true})
	}
}

// sendRelease asks one host to drop samples of a step.
func (s *steps) sendRelease(id string, q *entryhost.ReleaseSamplesRequest) {
	s.send(id, entryhost.ReleaseSamples, q, dropTimeout, "release")
}

// cancelAll asks the owners to cancel streams that are no longer needed or have to
// move.
func (s *steps) cancelAll(l []rollout.Cancel) {
	for _, c := range l {
		q := &entryhost.CancelStreamRequest{Server: c.Server, Stream: c.Stream, Move: c.Move}
		go s.send(c.Host, entryhost.CancelStream, q, dropTimeout, "cancel")
	}
}

// send sends a message to a host and waits until it is answered. A failure is only
// counted, under the name of the operation.
func (s *steps) send(id string, k peer.Kind, q any, timeout time.Duration, operation string) {
	ctx, cancel := context.WithTimeout(s.d.ctx, timeout)
	defer cancel()
	if err := s.d.call(ctx, id, k, q, nil); err != nil {
		s.d.metrics.retry(operation, err)
	}
}
