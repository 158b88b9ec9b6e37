package gateway

import (
	"slices"
	"strings"
	"time"

	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/serverchoice"
	"mulberrypier.example/pier/stepplan"
)

// pickEngine picks an engine that meets a sample's need and may take its prompt now, and reserves a slot
// there. ok is false if none has a free slot or the prompt is held back, which p.Held tells.
func (f *fleet) pickEngine(service, model string, n stepplan.Need, p *promptload.Prompt, slots int) (*reservation, bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	c, at := f.eligibleEngines(service, model, slots, now, f.admitsSample)
	f.limitToPrompt(service, c, n, p, now)
	i := stepplan.PickEngine(c, n)
	if i < 0 {
		return nil, false
	}
	return f.reserve(f.byService[service][at[i]], p, now), true
}

// hasFreeEngine reports whether an engine that meets a sample's need, and none of the needs unmet,
// has a free slot.
func (f *fleet) hasFreeEngine(service, model string, n stepplan.Need, unmet []stepplan.Need, slots int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, _ := f.eligibleEngines(service, model, slots, time.Now(), f.admitsSample)
	c = slices.DeleteFunc(c, func(e stepplan.Engine) bool {
		return slices.ContainsFunc(unmet, func(o stepplan.Need) bool { return o.MetBy(&e) })
	})
	return stepplan.PickEngine(c, n) >= 0
}

// continuers returns the number of servers that take new work and can continue a text of the
// given software with version min of a model or newer.
func (f *fleet) continuers(writer directory.Software, model string, min int64) int {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.byService[writer.Service] {
		if !s.Leaving && s.Runs() == writer && f.states[s.ID].version(s, model, now) >= min {
			n++
		}
	}
	return n
}

// reserve adds a request of this host to a server, with its prompt if that is known. The caller holds mu.
func (f *fleet) reserve(s directory.Server, p *promptload.Prompt, now time.Time) *reservation {
	f.states[s.ID].running++
	f.states[s.ID].permits++
	return &reservation{f: f, s: s, permit: true, unread: f.sendPrompt(&s, p, now)}
}

// moves returns the indexes of at most limit runs that should move to another engine.
func (f *fleet) moves(service, model string, slots int, runs []stepplan.Run, limit int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, _ := f.eligibleEngines(service, model, slots, time.Now(), f.isUnlimited)
	return stepplan.PlanMoves(c, runs, limit)
}

// isUnlimited reports whether a server has stated no limit. A sample does not move to a
// server with a limit, where it may have to wait.
func (f *fleet) isUnlimited(s directory.Server) bool {
	limited, _ := f.g.limits.wait(s)
	return !limited
}

// admitsSample reports whether a sample may ask for a permit of a server's limit: others of
// this host do not ask already, and none was refused shortly before. The caller holds mu.
func (f *fleet) admitsSample(s directory.Server) bool {
	limited, wait := f.g.limits.wait(s)
	return !limited || wait == 0 && f.states[s.ID].permits == 0
}

// eligibleEngines returns the engines that may take samples, and their indexes in the
// service's list. slots applies to servers whose registrations state none. An engine that
// admits returns false for has no slots; its samples may still move away. The caller holds mu.
func (f *fleet) eligibleEngines(
	service, model string, slots int, now time.Time, admits func(s directory.Server) bool,
) ([]stepplan.Engine, []int) {
	l := f.byService[service]
	c := make([]stepplan.Engine, 0, len(l))
	at := make([]int, 0, len(l))
	fastest := f.fastest(l)
	for i, s := range l {
		t := f.states[s.ID]
		if s.Leaving || now.Before(t.avoidUntil) {
			continue
		}
		n := s.Slots
		if n == 0 {
			n = slots
		}
		if !admits(s) || f.g.suspects.inTrial(&s) {
			n = 0
		}
		at = append(at, i)
		c = append(c, stepplan.Engine{
			ID: s.ID, Version: t.version(s, model, now), Software: s.Software, Slots: n,
			Running: t.estimatedRunning(now), SameDomain: s.Domain == f.g.s.Domain,
			RelativeTokenTime: t.relativeTokenTime(fastest),
		})
	}
	return c, at
}

// fastest returns the pace of the fastest server, or 0 if none was measured. The caller holds mu.
func (f *fleet) fastest(l []directory.Server) time.Duration {
	var r time.Duration
	for _, s := range l {
		p := f.states[s.ID].pace.Mean()
		if p > 0 && (r == 0 || p < r) {
			r = p
		}
	}
	return r
}

// relativeTokenTime returns the server's pace as a multiple of the fastest one's, or 1 if
// it was not measured.
func (t *serverState) relativeTokenTime(fastest time.Duration) float64 {
	p := t.pace.Mean()
	if fastest == 0 || p == 0 {
		return 1
	}
	return float64(p) / float64(fastest)
}

// version returns the version of a model that the server is expected to have.
func (t *serverState) version(s directory.Server, model string, now time.Time) int64 {
	v := s.Versions[model]
	if o, ok := t.ordered[model]; ok && !now.Before(o.ready) {
		v = max(v, o.version)
	}
	return v
}

// estimatedRunning returns the estimated number of requests at the server: those of this
// host, plus those of others as of the load that the server last stated.
func (t *serverState) estimatedRunning(now time.Time) int {
	n := t.running
	if now.Sub(t.loadAt) < loadMaxAge {
		n += max(t.load.Running+t.load.Waiting-t.ownRunning, 0)
	}
	return n
}

// slowdown returns the factor by which work takes longer on the server's machine than normally, as
// the server last stated it; 1 if it has not done so recently.
func (t *serverState) slowdown(now time.Time) float64 {
	if t.load.SlowdownPercent == 0 || now.Sub(t.loadAt) >= slowdownMaxAge {
		return 1
	}
	return float64(t.load.SlowdownPercent) / 100
}

// serverChoice is what a server has to be to get a plain request.
type serverChoice struct {
	// services holds the services to use, the preferred one first.
	services []string
	// software is the version of the software that the server must run, empty for any.
	software string
	// tried holds the servers that are not picked.
	tried map[string]bool
	// deferrable is set for a request that comes again later.
	deferrable bool
	// prompt is the prompt of a caller's stream, of unknown length for other requests.
	prompt promptload.Prompt
}

// noServer returns the refusal of a request for which there is no server.
func (c serverChoice) noServer() *outcome.Error {
	what := strings.Join(c.services, ",")
	if c.software != "" {
		what += " " + c.software
	}
	return outcome.Refuse(outcome.ReasonNoServer, what).After(unavailableRetryAfter)
}

// pickServer picks a server for a plain request: one of the first service that has one
// which can take the request at once, or else the best one of all services.
func (f *fleet) pickServer(p serverChoice) (*reservation, bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *directory.Server
	var choice serverchoice.Choice
	for _, name := range p.services {
		s, c := f.bestServer(name, p, now)
		if s != nil && (best == nil || c.Ready || c.Cost < choice.Cost) {
			best, choice = s, c
		}
		if best != nil && choice.Ready {
			break
		}
	}
	if best == nil {
		return nil, false
	}
	f.g.metrics.serverChoices.WithLabelValues(string(choice.Basis)).Inc()
	if t := f.states[best.ID]; t.load.SlowdownPercent > 0 {
		f.g.metrics.chosenSlowdown.Observe(t.slowdown(now))
	}
	return f.reserve(*best, &p.prompt, now), true
}

// bestServer returns the server of a service that a plain request should go to, nil if there is
// none. A server that is avoided, at which a suspect request is tried, or whose limit leaves no
// room for some time, is returned only if there is no other. One at whose address nothing listened
// just before is not returned at all: a call finds out at once that no server is left.
//
// A deferrable request, which comes again later, gets no server that is full: one that has
// refused this host a request shortly before, or has as many requests waiting as running. The
// caller holds mu.
func (f *fleet) bestServer(service string, p serverChoice, now time.Time) (*directory.Server, serverchoice.Choice) {
	l := f.byService[service]
	candidates := make([]serverchoice.Server, 0, len(l))
	at := make([]int, 0, len(l))
	for i := range l {
		if f.mayTake(&l[i], p, now) {
			candidates = append(candidates, f.candidate(&l[i], now))
			at = append(at, i)
		}
	}
	if p.prompt.Tokens > 0 {
		f.avoidForPrompt(service, candidates, at, &p.prompt, now)
	}
	c, ok := serverchoice.Choose(candidates, f.random)
	if !ok {
		return nil, c
	}
	return &l[at[c.Index]], c
}

// mayTake reports whether a server may get a request at all. The caller holds mu.
func (f *fleet) mayTake(s *directory.Server, p serverChoice, now time.Time) bool {
	t := f.states[s.ID]
	switch {
	case s.Leaving || p.tried[s.ID] || now.Before(t.absentUntil):
		return false
	case p.software != "" && s.Software != p.software:
		return false
	}
	return !p.deferrable || !f.g.suspects.inTrial(s) && !t.isFull(*s, now)
}

// candidate returns what counts for the choice of a server for a plain request. The caller holds mu.
func (f *fleet) candidate(s *directory.Server, now time.Time) serverchoice.Server {
	t := f.states[s.ID]
	_, wait := f.g.limits.wait(*s)
	return serverchoice.Server{
		Slots: s.Slots, Running: t.estimatedRunning(now),
		StatesSlowdown: t.load.SlowdownPercent > 0, Recent: now.Sub(t.loadAt) < loadMaxAge, Slowdown: t.slowdown(now),
		Avoided: now.Before(t.avoidUntil) || f.g.suspects.inTrial(s), LimitWait: wait,
		OtherDomain: s.Domain != f.g.s.Domain,
	}
}

// isFull reports whether a server has no room for a deferrable request.
func (t *serverState) isFull(s directory.Server, now time.Time) bool {
	if t.refusals > 0 && now.Before(t.avoidUntil) {
		return true
	}
	return s.Slots > 0 && t.estimatedRunning(now) >= fullAtSlots*s.Slots
}

// fullAtSlots is the number of requests at a server, as a multiple of its slots, from
// which on it gets no deferrable ones.
const fullAtSlots = 2
