package gateway

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
)

// stepSearch is the search for a host that knows a step. It is used by one goroutine.
type stepSearch struct {
	g *Gateway
	q stepQuery
	// asked holds the peer addresses of the hosts that were asked, pending is the number of those
	// that did not answer yet.
	asked   map[netip.AddrPort]bool
	pending int
	answers chan knowingHost
}

// knowingHost is a host that was asked, with its answer, which is nil if it does not know the step.
type knowingHost struct {
	peers  netip.AddrPort
	answer *stepAnswer
}

func newStepSearch(g *Gateway, q stepQuery) *stepSearch {
	q.Wait, q.Knows = 0, true
	return &stepSearch{g: g, q: q, asked: make(map[netip.AddrPort]bool), answers: make(chan knowingHost)}
}

// run asks the holder of the step's partition and all preferred drivers at the same time, and returns
// the first host that knows the step. Its answer is nil if none says so within knowsStepTimeout.
func (s *stepSearch) run(ctx context.Context) knowingHost {
	ctx, cancel := context.WithTimeout(ctx, knowsStepTimeout)
	defer cancel()
	s.askHolder(ctx)
	s.askDrivers(ctx)
	driversRead := s.g.preferred.readingDone()
	for s.pending > 0 || driversRead != nil {
		select {
		case h := <-s.answers:
			s.pending--
			if h.answer != nil {
				return h
			}
		case <-driversRead:
			driversRead = nil
			s.askDrivers(ctx)
		case <-ctx.Done():
			return knowingHost{}
		}
	}
	return knowingHost{}
}

// askHolder asks the host to which the log assigned the step's partition.
func (s *stepSearch) askHolder(ctx context.Context) {
	a, ok := s.g.peerLog.holder(s.g.journal.get(s.q.Step).n)
	if !ok {
		return
	}
	q := s.q
	q.Follow = true
	s.ask(ctx, a, func(ctx context.Context) (*stepAnswer, error) {
		r, err := s.g.askStep(ctx, a, &q)
		if err != nil && !outcome.HasReason(err, outcome.ReasonUnknownStep) && !errors.Is(ctx.Err(), context.Canceled) {
			s.g.peerLog.holderFailed()
		}
		return r, err
	})
}

// askDrivers asks the preferred drivers that are known.
func (s *stepSearch) askDrivers(ctx context.Context) {
	for _, d := range s.g.preferred.others() {
		s.ask(ctx, d.Peers, func(ctx context.Context) (*stepAnswer, error) {
			return s.g.askStep(ctx, d.Peers, &s.q)
		})
	}
}

// ask asks a host by a function, unless that host was asked already.
func (s *stepSearch) ask(ctx context.Context, a netip.AddrPort, query func(ctx context.Context) (*stepAnswer, error)) {
	if s.asked[a] {
		return
	}
	s.asked[a] = true
	s.pending++
	go func() {
		r, err := query(ctx)
		if err != nil {
			r = nil
		}
		select {
		case s.answers <- knowingHost{peers: a, answer: r}:
		case <-ctx.Done():
		}
	}()
}

// askStep asks a host about a step. A failure that does not come from that host's own answer is
// logged.
func (g *Gateway) askStep(ctx context.Context, a netip.AddrPort, q *stepQuery) (*stepAnswer, error) {
	var r stepAnswer
	err := g.peers.Probe(ctx, a, kindStepQuery, q, &r)
	if err == nil {
		return &r, nil
	}
	if e := outcome.AsError(err); !e.Remote && !errors.Is(ctx.Err(), context.Canceled) {
		g.log.Info("step: a host did not answer a query about it", zap.Stringer("address", a),
			zap.String("id", q.Step), zap.Bool("knows", !q.Knows), zap.Error(err))
	}
	return nil, err
}

// askPeers asks the hosts that may know a step about it. It calls found once one does, before that
// one is asked for what is wanted. It returns nil if none does, or that one has no answer.
func (g *Gateway) askPeers(ctx context.Context, q stepQuery, found func()) *stepAnswer {
	began := time.Now()
	h := newStepSearch(g, q).run(ctx)
	switch q.next(h.answer) {
	case readLog:
		return nil
	case useAnswer:
		return h.answer
	}
	found()
	q.Wait = max(q.Wait-time.Since(began), 0)
	a, err := g.askStep(ctx, h.peers, &q)
	if err != nil {
		return nil
	}
	return a
}
