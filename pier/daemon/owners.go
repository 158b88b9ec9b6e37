package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/ring"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/weights"
)

const (
	// offerInterval is the time between two offers while nothing changes.
	offerInterval = 500 * time.Millisecond
	// maxFailedReports is the number of consecutive failed load reports after which
	// a server counts as down.
	maxFailedReports = 2
	// permitLease is how long a permit to load weights is valid unless it is
	// released earlier.
	permitLease = 30 * time.Second
	// permitRetryDelay is how long an owner waits before it asks again for a
	// permit.
	permitRetryDelay = 200 * time.Millisecond
	// orderRetryDelay is how long an owner waits after a failed load.
	orderRetryDelay = 500 * time.Millisecond
)

// held is a finished sample that the trainer has not acknowledged yet.
type held struct {
	sample *rollout.Sample
	// delivered is set once a coordinator has accepted the sample.
	delivered bool
	heldSince time.Time
}

// owners is the role that admits all work to the backend servers whose rendezvous
// hash selects this host. It runs the state machines of packages owner and weights.
type owners struct {
	d   *Daemon
	log *zap.Logger

	// mu guards the fields from table to fenceDue.
	mu      sync.Mutex
	table   *owner.Table
	orders  *weights.Orders
	permits map[string]*weights.Permits
	// streams holds the rollout streams that this host drives, by stream ID.
	streams map[string]*stream
	// held holds the finished samples that have not been released, by stream ID.
	held map[string]*held
	// failedReports counts the consecutive failed load reports, by server.
	failedReports map[string]int
	// failedLoads holds the model whose load failed last, by server.
	failedLoads map[string]string
	// unlisted holds the newly owned servers on which other hosts may still drive
	// streams. Their streams are listed at each poll until no foreign one is left.
	unlisted map[string]bool
	// versions holds the newest version of each trainer's weights, by trainer.
	versions map[string]rollout.Version
	// offerState holds the last offer to each trainer's coordinator, by trainer.
	offerState map[string]*offerState
	// unsealed and pendingSince are what each trainer's coordinator last reported:
	// how many samples the oldest unfinished step still lacks, and when the oldest
	// step with pending samples was opened.
	unsealed     map[string]int
	pendingSince map[string]time.Time
	// leaving holds the addresses that the platform's host list reported as
	// leaving.
	leaving map[netip.AddrPort]bool
	// fence is this host's fencing token, which it sends with every load order.
	// fenceDue is set when a new one is needed.
	fence    int64
	fenceDue bool
	// offerTrigger requests an offer before the next one that is due.
	offerTrigger chan struct{}
	// offering is held while an offer is being made, as only one may be at a time.
	offering sync.Mutex
	// refreshMu serialises refresh, so that an older list never replaces a newer
	// one. It guards holders.
	refreshMu sync.Mutex
	holders   *ring.Assignment
}

func newOwners(d *Daemon) *owners {
	return &owners{
		d:   d,
		log: d.logger("owners"),
		table: owner.New(owner.Config{
			Reserve: d.s.Limits.Reserve,
		}),
		orders: weights.NewOrders(weights.Config{
			LoadLimit: d.s.Timing.LoadLimit.D(),
			Retry:     orderRetryDelay,
		}),
		permits:       make(map[string]*weights.Permits),
		streams:       make(map[string]*stream),
		held:          make(map[string]*held),
		failedReports: make(map[string]int),
		failedLoads:   make(map[string]string),
		unlisted:      make(map[string]bool),
		versions:      make(map[string]rollout.Version),
		leaving:       make(map[netip.AddrPort]bool),
		holders:       ring.NewAssignment(),
		unsealed:      make(map[string]int),
		offerState:    make(map[string]*offerState),
		pendingSince:  make(map[string]time.Time),
		offerTrigger:  make(chan struct{}, 1),
	}
}

// run periodically polls the owned servers, resends samples and offers free slots.
// Offers are also made when triggered.
func (o *owners) run(ctx context.Context) {
	poll := time.NewTicker(o.d.s.Timing.Report.D())
	defer poll.Stop()
	offer := time.NewTicker(offerInterval)
	defer offer.Stop()
	var lastOffer time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
			go o.pollServers(ctx)
			go o.resendSamples(ctx)
		case <-offer.C:
			go o.offer(ctx)
		case <-o.offerTrigger:
			// Coalesce a burst of ended streams into one offer.
			if d := time.Until(lastOffer.Add(5 * time.Millisecond)); d > 0 {
				backoff.Sleep(ctx, d)
			}
			lastOffer = time.Now()
			go o.offer(ctx)
		}
	}
}

// triggerOffer requests an offer soon, after slots or work may have become
// available.
func (o *owners) triggerOffer() {
	select {
	case o.offerTrigger <- struct{}{}:
	default:
	}
}

// refresh derives the set of servers that this host owns from the configuration in
// force and the members.
func (o *owners) refresh() {
	o.refreshMu.Lock()
	defer o.refreshMu.Unlock()
	s := o.d.notes.snapshot()
	o.holders.SetCandidates(o.d.members.candidates())
	if _, _, n, _ := s.Len(); o.holders.Len() > 2*n {
		o.holders.Forget()
	}
	express := expressServers(s)
	var l []owner.Owned
	s.EachServer(func(v release.Server) {
		if v.Deployment == "" {
			return
		}
		if id, ok := o.holders.Holder(ownerKey(v.Name), v.Region); !ok || id != o.d.id {
			return
		}
		p, _ := s.Deployment(v.Deployment)
		l = append(l, owner.Owned{Server: v, Interactive: p.Interactive, Express: express[v.Name]})
	})
	o.mu.Lock()
	gained := o.table.SetOwned(l)
	for _, n := range gained {
		o.unlisted[n] = true
	}
	o.fenceDue = o.fenceDue || len(gained) > 0
	o.d.metrics.owned.Set(float64(len(o.table.Names())))
	o.mu.Unlock()
	if len(gained) > 0 {
		o.log.Info("took ownership of servers", zap.Int("servers", len(gained)))
		go o.pollServers(o.d.ctx)
	}
}

// ownerKey returns the rendezvous key of a backend server's owner.
func ownerKey(server string) string { return "server:" + server }

// isLeaving reports whether the platform's host list reported the server at address
// a as leaving.
func (o *owners) isLeaving(a netip.AddrPort) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving[a]
}

// markLeaving marks the servers at address a as leaving.
func (o *owners) markLeaving(a netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[a] = true
	for _, n := range o.table.Names() {
		if v, _ := o.table.Get(n); v.Address == a {
			o.table.MarkLeaving(n)
		}
	}
}

// pollServers reads the load of each owned server and then carries out the actions
// on load orders that are due.
func (o *owners) pollServers(ctx context.Context) {
	o.mu.Lock()
	l := append([]string(nil), o.table.Names()...)
	due := o.fenceDue
	o.fenceDue = false
	o.mu.Unlock()
	if due {
		go o.renewFence(ctx)
	}
	var wg sync.WaitGroup
	for _, n := range l {
		wg.Go(func() { o.pollServer(ctx, n) })
	}
	wg.Wait()
	o.mu.Lock()
	o.requestVersions()
	actions := o.orders.Next(time.Now())
	o.mu.Unlock()
	for _, t := range actions {
		go o.advanceOrder(ctx, t)
	}
}

// pollServer reads the load of one server. The server counts as down after
// maxFailedReports consecutive failures.
func (o *owners) pollServer(ctx context.Context, n string) {
	o.mu.Lock()
	v, ok := o.table.Get(n)
	listStreams := o.unlisted[n]
	o.mu.Unlock()
	if !ok {
		return
	}
	l, err := o.d.engines.Load(ctx, v.Address)
	if err == nil && listStreams {
		err = o.listStreams(ctx, v)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.d.metrics.retry("report", err)
		if o.failedReports[n]++; o.failedReports[n] >= maxFailedReports {
			o.table.Down(n)
		}
		return
	}
	o.failedReports[n] = 0
	w, _ := o.table.View(n)
	o.table.Report(time.Now(), n, l)
	if w.Down {
		o.triggerOffer()
	}
	o.failedLoads[n] = l.Failed
}

// listStreams lists the streams on a newly owned server. It adopts the rollout
// streams whose driver is gone. All others that are unfinished and not this host's
// own count against the server's capacity until they end.
func (o *owners) listStreams(ctx context.Context, v release.Server) error {
	l, err := o.d.engines.Streams(ctx, v.Address)
	if err != nil {
		return err
	}
	foreign := 0
	for _, r := range l {
		t, ok := parseStream(r.Stream)
		switch {
		case r.Driver == o.d.id:
		case ok && !o.d.members.alive(r.Driver):
			o.adoptStream(v.Name, t, r.Prompt)
		case !r.Finished:
			foreign++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetForeign(v.Name, foreign)
	if foreign == 0 {
		delete(o.unlisted, v.Name)
	}
	return nil
}

// requestVersions requests the newest version of each trainer's weights on every
// owned server of the trainer's deployment. o.mu must be held.
func (o *owners) requestVersions() {
	s := o.d.notes.snapshot()
	for _, n := range o.table.Names() {
		v, _ := o.table.Get(n)
		s.EachTrainer(func(t release.Trainer) {
			if w := o.versions[t.Name]; t.Deployment == v.Deployment && w > 0 {
				k := weights.Target{Server: n, Model: t.Name}
				o.orders.SetWanted(k, w)
				o.orders.Report(time.Now(), k, o.table.Version(n, t.Name), o.failedLoads[n] == t.Name)
			}
		})
	}
	o.orders.Retain(func(t weights.Target) bool { return o.table.Owns(t.Server) })
}

// advanceOrder carries out one action on a load order: it requests a permit or sends
// the order to the engine.
func (o *owners) advanceOrder(ctx context.Context, t weights.Action) {
	o.mu.Lock()
	v, ok := o.table.Get(t.Server)
	fence := o.fence
	o.mu.Unlock()
	if !ok {
		return
	}
	if t.NeedsPermit {
		a := o.requestPermit(ctx, v.Deployment,
			&entryhost.LoadPermitRequest{Server: t.Server, Model: t.Model, Version: t.Version})
		o.mu.Lock()
		o.orders.Permitted(time.Now(), t.Target, a.Granted, a.RetryAfter)
		again := a.Granted
		var l []weights.Action
		if again {
			l = o.orders.Next(time.Now())
		}
		o.mu.Unlock()
		for _, s := range l {
			go o.advanceOrder(ctx, s)
		}
		return
	}
	err := o.d.engines.Order(ctx, v.Address, &engine.Order{Model: t.Model, Version: int64(t.Version), FencingToken: fence})
	if err != nil {
		o.d.metrics.retry("order", err)
		o.log.Warn("load order not accepted by the engine; it will be retried",
			zap.String("server", t.Server), zap.Error(err))
	}
	o.mu.Lock()
	o.orders.Ordered(time.Now(), t.Target, t.Version, err == nil)
	o.fenceDue = o.fenceDue || outcome.HasReason(err, outcome.ReasonStaleFence)
	o.mu.Unlock()
}

// requestPermit requests a permit from the publisher of a deployment. If the
// publisher does not answer, the returned answer denies it and asks for a retry
// after permitRetryDelay. Deployments without a limit on simultaneous loads need no
// permit.
func (o *owners) requestPermit(ctx context.Context, deployment string, q *entryhost.LoadPermitRequest) *entryhost.LoadPermitAnswer {
	if p, ok := o.d.notes.snapshot().Deployment(deployment); ok && p.LoadsAtOnce == 0 {
		return &entryhost.LoadPermitAnswer{Granted: true}
	}
	id, err := o.d.members.holder("publisher:"+deployment, "")
	a := &entryhost.LoadPermitAnswer{}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		err = o.d.call(ctx, id, entryhost.LoadPermit, q, a)
	}
	if err != nil {
		o.d.metrics.retry("permit", err)
		return &entryhost.LoadPermitAnswer{RetryAfter: permitRetryDelay}
	}
	return a
}

// grantPermit answers a permit request as the publisher of the server's deployment.
func (o *owners) grantPermit(q *entryhost.LoadPermitRequest) *entryhost.LoadPermitAnswer {
	s := o.d.notes.snapshot()
	v, _ := s.Server(q.Server)
	p, _ := s.Deployment(v.Deployment)
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.permits[p.Name]
	if m == nil {
		m = weights.NewPermits(weights.PermitConfig{Lease: permitLease, Retry: permitRetryDelay})
		o.permits[p.Name] = m
	}
	m.SetMaxLoads(p.LoadsAtOnce)
	t := weights.Target{Server: q.Server, Model: q.Model}
	if q.Done {
		m.Done(t)
		return &entryhost.LoadPermitAnswer{}
	}
	ok, after := m.Acquire(time.Now(), t)
	return &entryhost.LoadPermitAnswer{Granted: ok, RetryAfter: after}
}

// renewFence appends an ownership record to the log. Its offset plus one becomes
// this host's fencing token.
func (o *owners) renewFence(ctx context.Context) {
	f, err := o.d.log.Append(ctx, StreamOwnership, []byte(o.d.id))
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.d.metrics.retry("log-append", err)
		o.fenceDue = true
		return
	}
	o.fence = max(o.fence, f+1)
}

// StreamOwnership is the name of the log stream with the ownership records.
const StreamOwnership = "ownership"

// handleWake processes the notification that a trainer has new work or a new
// version.
func (o *owners) handleWake(q *entryhost.WakeRequest) error {
	if q.Version > 0 {
		o.updateVersion(q.Trainer, q.Version)
		t, _ := o.d.notes.snapshot().Trainer(q.Trainer)
		o.d.steps.updateVersion(q.Trainer, q.Version, t.StalenessBound)
	}
	o.mu.Lock()
	if a := o.offerState[q.Trainer]; a != nil {
		a.nothingPending = false
	}
	o.mu.Unlock()
	o.triggerOffer()
	return nil
}

// updateVersion records a trainer's newest version. If it is newer than the one known,
// the owned servers are polled at once, and thereby ordered to load it.
func (o *owners) updateVersion(trainer string, v rollout.Version) {
	o.mu.Lock()
	newer := v > o.versions[trainer]
	if newer {
		o.versions[trainer] = v
	}
	o.mu.Unlock()
	if newer {
		go o.pollServers(o.d.ctx)
	}
}

// serverStatuses returns the status of each owned server.
func (o *owners) serverStatuses() []entryhost.ServerStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	var l []entryhost.ServerStatus
	for _, n := range o.table.Names() {
		v, _ := o.table.View(n)
		s := entryhost.ServerStatus{
			Name: n, Running: v.Running, Foreign: v.Foreign, Capacity: v.Capacity, Leaving: v.Leaving,
			Versions: make(map[string]int64), Order: "settled",
		}
		if v.Down {
			s.Order = "down"
		}
		for m, k := range v.Versions {
			s.Versions[m] = int64(k)
		}
		for t := range o.versions {
			if c, _ := o.orders.State(weights.Target{Server: n, Model: t}); c != weights.Settled {
				s.Order = string(c)
			}
		}
		l = append(l, s)
	}
	return l
}

// busy reports whether this host drives streams or holds samples that no
// coordinator has accepted.
func (o *owners) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.streams) > 0 {
		return true
	}
	for _, h := range o.held {
		if !h.delivered {
			return true
		}
	}
	return false
}
