package gateway

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
)

// secondHolderDelay is the time after which a search that still goes on asks one more host.
const secondHolderDelay = 100 * time.Millisecond

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

// run asks the holder of the step's partition and all preferred drivers at the same time. It sends those
// that know the step, as they answer, and closes the channel once all have, or after knowsStepTimeout.
func (s *stepSearch) run(ctx context.Context, knowing chan<- knowingHost) {
	defer close(knowing)
	ctx, cancel := context.WithTimeout(ctx, knowsStepTimeout)
	defer cancel()
	s.askHolder(ctx)
	s.askDrivers(ctx)
	driversRead := s.g.preferred.readingDone()
	second := time.NewTimer(secondHolderDelay)
	defer second.Stop()
	for s.pending > 0 || driversRead != nil {
		select {
		case <-second.C:
			s.askSecondHolder(ctx)
		case h := <-s.answers:
			s.pending--
			if h.answer == nil {
				continue
			}
			select {
			case knowing <- h:
			case <-ctx.Done():
				return
			}
		case <-driversRead:
			driversRead = nil
			s.askDrivers(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// askSecondHolder asks the host that all others ask as well if they get no answer of the holder.
func (s *stepSearch) askSecondHolder(ctx context.Context) {
	a, ok := s.g.peerLog.secondHolder(s.g.journal.get(s.q.Step).n)
	if !ok {
		return
	}
	q := s.q
	q.Follow = true
	s.ask(ctx, a, func(ctx context.Context) (*stepAnswer, error) { return s.g.askStep(ctx, a, &q) })
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

// askStep asks a host about a step. If the configuration has organisations, answers that are not marked as checked are
// ignored: a host of an older version does not check who asks. A failure that does not come from that host's own answer is
// logged.
func (g *Gateway) askStep(ctx context.Context, a netip.AddrPort, q *stepQuery) (*stepAnswer, error) {
	var r stepAnswer
	err := g.peers.Probe(ctx, a, kindStepQuery, q, &r)
	switch {
	case err == nil && g.restricted() && !r.Checked:
		return nil, outcome.Refuse(outcome.ReasonUnknownStep, q.Step)
	case err == nil:
		return &r, nil
	}
	if e := outcome.AsError(err); !e.Remote && !errors.Is(ctx.Err(), context.Canceled) {
		g.log.Info("step: a host did not answer a query about it", zap.Stringer("address", a),
			zap.String("id", q.Step), zap.Bool("knows", !q.Knows), zap.Error(err))
	}
	return nil, err
}

// askPeers asks the hosts that may know a step about it. It calls found once one does, before that
// one is asked for what is wanted. If that one fails or is late, the next one that knows the step is
// asked as well. The outcome is empty if none has an answer.
func (g *Gateway) askPeers(ctx context.Context, q stepQuery, found func()) stepOutcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	knowing := make(chan knowingHost)
	go newStepSearch(g, q).run(ctx, knowing)
	p := &peerQuery{g: g, q: q, began: time.Now(), answers: make(chan stepOutcome)}
	for knowing != nil || p.pending > 0 {
		select {
		case h, ok := <-knowing:
			if !ok {
				knowing = nil
				continue
			}
			if q.next(h.answer) == useAnswer {
				return stepOutcome{answer: h.answer}
			}
			found()
			p.add(ctx, h)
		case x := <-p.answers:
			p.pending--
			if x.err == nil || isPeerFinal(x.err) {
				return x
			}
			p.askNext(ctx)
		case <-p.late:
			p.askNext(ctx)
		case <-ctx.Done():
			return stepOutcome{}
		}
	}
	return stepOutcome{}
}

// isPeerFinal reports whether an error is what another host that knows the step says of it for good.
func isPeerFinal(err error) bool {
	return outcome.AsError(err).Remote && outcome.HasReason(err, outcome.ReasonUnknownName)
}

// peerQuery asks hosts that know a step, one after the other, for what is wanted. It is used by one
// goroutine.
type peerQuery struct {
	g     *Gateway
	q     stepQuery
	began time.Time
	// next holds the hosts that were not asked yet, pending is the number of those that were and have
	// not answered.
	next    []netip.AddrPort
	pending int
	answers chan stepOutcome
	// late yields once the host that was asked last is late. It is nil before one is asked.
	late <-chan time.Time
}

// add adds a host. It is asked at once if it is the first.
func (p *peerQuery) add(ctx context.Context, h knowingHost) {
	p.next = append(p.next, h.peers)
	if p.pending == 0 {
		p.askNext(ctx)
	}
}

// askNext asks the next host, if there is one.
func (p *peerQuery) askNext(ctx context.Context) {
	if len(p.next) == 0 {
		return
	}
	a, q := p.next[0], p.q
	p.next = p.next[1:]
	p.pending++
	q.Wait = max(q.Wait-time.Since(p.began), 0)
	p.late = time.After(q.Wait + stepQuerySlack)
	go func() {
		r, err := p.g.askStep(ctx, a, &q)
		select {
		case p.answers <- stepOutcome{r, err}:
		case <-ctx.Done():
		}
	}()
}
