package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// watchGroup is the consumer group of all entry hosts.
	watchGroup = "entry-hosts"
	// watchInterval is the time between two checks of the steps of other hosts.
	watchInterval = 250 * time.Millisecond
	// missesBeforeTakeover is the number of checks in a row that must find a step without a
	// driver before it is taken over.
	missesBeforeTakeover = 2
	// drivingQueryTimeout bounds the answer of another host.
	drivingQueryTimeout = 400 * time.Millisecond
	// watchMaxViewAge is the greatest age of the view of a partition at which its steps are
	// checked: an older one may list complete steps as open.
	watchMaxViewAge = 3 * readWait
	// memberTTL is how long a host stays in the group without a call. joinInterval is the
	// time between two calls, short enough that a lost one does no harm.
	memberTTL    = 2 * time.Second
	joinInterval = 600 * time.Millisecond
	// maxJoinTime bounds the time of a call to the group, so that one that is lost can be
	// followed by another within the TTL.
	maxJoinTime = memberTTL * 3 / 4
	// initialJoinInterval is the time between two calls to the group during settlePeriod
	// after the start, in which the partitions of many hosts may be reassigned at once.
	initialJoinInterval = 250 * time.Millisecond
	settlePeriod        = 5 * time.Second
)

// kindDrivingQuery is the kind of a message that asks a host which steps it runs.
const kindDrivingQuery = peer.KindFirst

// drivingQuery asks a host which of the given steps it runs.
type drivingQuery struct {
	Steps []string `msgpack:"s"`
}

// drivingAnswer reports for each step of the query whether the host runs it.
type drivingAnswer struct {
	Host    string `msgpack:"h"`
	Driving []bool `msgpack:"d"`
}

// answerPeer handles the messages of other hosts.
func (g *Gateway) answerPeer(ctx context.Context, q *peer.Request) (any, error) {
	switch q.Kind {
	case kindDrivingQuery:
		return g.answerDriving(q)
	case kindHandOff:
		return g.steps.acceptHandOff(ctx, q)
	case kindStepQuery:
		return g.answerStep(ctx, q)
	case kindLogCall:
		return g.peerLog.carry(ctx, q)
	case kindPermit:
		return g.limits.answer(q)
	case kindLimitNotice:
		return g.answerNotice(q)
	case kindDemand:
		return g.answerDemand(q)
	case kindOpenSamples:
		return g.scaling.reports.answer(q)
	case kindUsage:
		return g.answerUsage(q)
	}
	return nil, outcome.Refuse(outcome.ReasonBadRequest, "message kind")
}

// answerDriving reports which steps this host runs, is about to run, or has records for that are not
// in the log yet.
func (g *Gateway) answerDriving(q *peer.Request) (any, error) {
	var m drivingQuery
	if err := peer.Decode(q.Body, &m); err != nil {
		return nil, err
	}
	a := drivingAnswer{Host: g.self.Host}
	for _, s := range m.Steps {
		a.Driving = append(a.Driving, g.steps.watched(s) || g.steps.isStarting(s) || g.journal.get(s).hasPending())
	}
	return &a, nil
}

// watch supervises the steps in the partitions that the log assigns to this host. A step
// whose driver is gone, or does not know of it, is taken over.
type watch struct {
	g *Gateway
	// rank is the lowest partition that is assigned to this host, or unranked. The lower it
	// is, the sooner the host takes an expired order lease.
	rank atomic.Int64
	// mu guards partitions, those that are assigned to this host. The slice is replaced, never
	// modified.
	mu         sync.Mutex
	partitions []int
	// preferredAt is when the preferred drivers were last checked.
	preferredAt time.Time
	// misses holds by step the number of checks in a row that found no driver.
	misses map[string]int
}

func newWatch(g *Gateway) *watch {
	w := &watch{g: g, misses: make(map[string]int)}
	w.rank.Store(unranked)
	return w
}

// unranked is the rank of a host to which no partition is assigned.
const unranked = -1

func (w *watch) run() {
	start := time.Now()
	generation := w.join(0)
	w.g.wg.Go(func() { w.stay(start, generation) })
	for w.g.ctx.Err() == nil {
		w.checkSteps()
		w.checkPreferred()
		backoff.Sleep(w.g.ctx, watchInterval)
	}
}

// stay renews the membership in the group, however long the checks of steps take meanwhile.
func (w *watch) stay(start time.Time, generation int64) {
	for joined := start; backoff.Sleep(w.g.ctx, joinIntervalAt(time.Since(start))-time.Since(joined)); {
		joined = time.Now()
		if !w.g.drain.leaving() {
			generation = w.join(generation)
		}
	}
}

// joinIntervalAt returns the time between two calls to the group at some time after the
// start.
func joinIntervalAt(uptime time.Duration) time.Duration {
	if uptime < settlePeriod {
		return initialJoinInterval
	}
	return joinInterval
}

// join joins the group, or renews the membership, and returns the group's generation.
func (w *watch) join(generation int64) int64 {
	ctx, cancel := context.WithTimeout(w.g.ctx, min(w.g.peerLog.limit(joinInterval), maxJoinTime))
	defer cancel()
	m, err := w.g.c.Log.Join(ctx, partitionlog.JoinRequest{
		Group: watchGroup, Member: w.g.hostID(), Topics: []string{stepjournal.Topic},
		TTL: max(memberTTL, w.g.s.Log.MemberTTL.D()), Generation: generation,
	})
	if err != nil {
		w.g.logHealth.failed(watchGroup, watchGroup, err)
		return generation
	}
	w.g.logHealth.answered(watchGroup)
	var l []int
	for _, p := range m.Parts {
		l = append(l, p.Number)
	}
	w.assign(l)
	if m.Generation != generation {
		w.g.log.Info("watch: partitions assigned", zap.Int64("generation", m.Generation), zap.Ints("parts", l))
	}
	return m.Generation
}

// assign sets the partitions that are assigned to this host.
func (w *watch) assign(l []int) {
	rank := unranked
	if len(l) > 0 {
		rank = slices.Min(l)
	}
	w.rank.Store(int64(rank))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitions = l
}

// assigned returns the partitions that are assigned to this host.
func (w *watch) assigned() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partitions
}

// leave leaves the group, so that the partitions are reassigned at once. A restarted host
// is the same member as before and gets its partitions back at once.
func (w *watch) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), min(w.g.peerLog.limit(joinInterval), maxJoinTime))
	defer cancel()
	if err := w.g.c.Log.Leave(ctx, watchGroup, w.g.hostID()); err != nil {
		w.g.log.Warn("watch: leaving the group failed; partitions are reassigned after the member TTL",
			zap.Error(err))
	}
}

// checkPreferred has this host replace a smaller host as the preferred driver of a model, if
// it holds a partition. Those hosts are few, and each waits a little longer the higher its
// rank is, so that they don't all try at the same time.
func (w *watch) checkPreferred() {
	rank := w.rank.Load()
	if rank == unranked || w.g.drain.leaving() {
		return
	}
	if time.Since(w.preferredAt) < preferredCheckInterval+time.Duration(rank)*preferredRankStep {
		return
	}
	w.preferredAt = time.Now()
	w.g.preferred.improve(w.g.ctx)
}

// openStep is an open step with the view of its partition.
type openStep struct {
	v *view
	e stepjournal.Entry
}

// checkSteps queries the drivers of the open steps in all assigned partitions, all at the
// same time, and takes over the steps whose drivers are gone.
func (w *watch) checkSteps() {
	if w.g.drain.leaving() {
		return
	}
	byDriver, gone := w.stepsByDriver()
	answers := w.queryDrivers(byDriver)
	misses := make(map[string]int)
	for a, l := range byDriver {
		for i, p := range l {
			n := missesAfter(w.misses[p.e.ID], p.e.Driver.Host, answers[a], i)
			if n >= missesBeforeTakeover {
				gone = append(gone, p)
				n = 0
			}
			misses[p.e.ID] = n
		}
	}
	w.misses = misses
	var g sync.WaitGroup
	for _, p := range gone {
		g.Go(func() { w.g.steps.takeOver(p.v, p.e) })
	}
	g.Wait()
}

// missesAfter returns the number of checks in a row that found no driver of a step, after
// one more check. before is their number so far, driver the step's driver, and i the index
// of the step in the query that r answers.
func missesAfter(before int, driver string, r drivingAnswer, i int) int {
	switch {
	case r.Host == driver && i < len(r.Driving) && r.Driving[i]:
		return 0
	case r.Host != "" && r.Host != driver:
		return missesBeforeTakeover // another incarnation answers, so the driver is gone
	}
	return before + 1
}

// stepsByDriver returns the open steps of other hosts, by the peer address of their driver,
// and those that have no driver. It resumes the steps of this host.
func (w *watch) stepsByDriver() (byDriver map[netip.AddrPort][]openStep, orphans []openStep) {
	byDriver = make(map[netip.AddrPort][]openStep)
	for _, n := range w.assigned() {
		v := w.g.journal.followPartition(n)
		if v.staleAt(time.Now().Add(-watchMaxViewAge)) {
			continue
		}
		v.saveCheckpoint()
		for _, e := range v.openSteps() {
			switch e.Driver.Host {
			case w.g.self.Host:
				w.g.steps.resume(v, e)
			case "":
				orphans = append(orphans, openStep{v, e})
			default:
				byDriver[e.Driver.Peers] = append(byDriver[e.Driver.Peers], openStep{v, e})
			}
		}
	}
	return byDriver, orphans
}

// queryDrivers queries the hosts at the addresses for their steps.
func (w *watch) queryDrivers(byDriver map[netip.AddrPort][]openStep) map[netip.AddrPort]drivingAnswer {
	r := make(map[netip.AddrPort]drivingAnswer, len(byDriver))
	var mu sync.Mutex
	var g sync.WaitGroup
	for a, l := range byDriver {
		g.Go(func() {
			var q drivingQuery
			for _, p := range l {
				q.Steps = append(q.Steps, p.e.ID)
			}
			x := w.queryDriving(a, q)
			mu.Lock()
			defer mu.Unlock()
			r[a] = x
		})
	}
	g.Wait()
	return r
}

// queryDriving returns a host's answer, or an empty one if it does not answer in time.
func (w *watch) queryDriving(a netip.AddrPort, q drivingQuery) drivingAnswer {
	ctx, cancel := context.WithTimeout(w.g.ctx, drivingQueryTimeout)
	defer cancel()
	var r drivingAnswer
	if err := w.g.peers.Probe(ctx, a, kindDrivingQuery, &q, &r); err != nil {
		w.g.log.Info("watch: host did not answer the query for its steps",
			zap.Stringer("address", a), zap.Error(err))
		return drivingAnswer{}
	}
	return r
}
