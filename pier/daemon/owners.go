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
	// askInterval is the time between two offers when nothing has changed.
	askInterval = 500 * time.Millisecond
	// reportMisses is how many reports in a row a server may fail to give.
	reportMisses = 2
	// permitLease is how long a permit to load holds when it is not given back.
	permitLease = 30 * time.Second
	// permitRetry is what an owner without a permit is told to wait.
	permitRetry = 200 * time.Millisecond
	// orderRetry is how long to wait after a load that failed.
	orderRetry = 500 * time.Millisecond
)

// held is a finished sample that waits for the trainer's acknowledgement.
type held struct {
	sample *rollout.Sample
	// sent tells that a coordinator has taken it.
	sent bool
	at   time.Time
}

// owners is the shell of packages owner and weights: the role that admits all
// work to the backend servers whose rendezvous hash names this host.
type owners struct {
	d   *Daemon
	log *zap.Logger
	mu  sync.Mutex
	// table, orders, permits, streams and held are guarded by mu.
	table   *owner.Table
	orders  *weights.Orders
	permits map[string]*weights.Permits
	// streams holds the rollout streams that this host drives, by id.
	streams map[string]*stream
	held    map[string]*held
	misses  map[string]int
	// failed holds the model whose load failed last, by server.
	failed map[string]string
	// unlisted holds servers whose streams were not listed since they were gained.
	unlisted map[string]bool
	versions map[string]rollout.Version
	// asked holds what was offered to each trainer's coordinator, and when.
	asked map[string]*asked
	// left and since are what the coordinators said last of their oldest steps.
	left  map[string]int
	since map[string]time.Time
	// leaving holds the addresses that the platform's list said are leaving.
	leaving  map[netip.AddrPort]bool
	fence    int64
	fenceDue bool
	kick     chan struct{}
	asking   sync.Mutex
	// refreshing serialises refresh, so that an older list never replaces a newer;
	// it guards holders.
	refreshing sync.Mutex
	holders    *ring.Assignment
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
			Retry:     orderRetry,
		}),
		permits:  make(map[string]*weights.Permits),
		streams:  make(map[string]*stream),
		held:     make(map[string]*held),
		misses:   make(map[string]int),
		failed:   make(map[string]string),
		unlisted: make(map[string]bool),
		versions: make(map[string]rollout.Version),
		leaving:  make(map[netip.AddrPort]bool),
		holders:  ring.NewAssignment(),
		left:     make(map[string]int),
		asked:    make(map[string]*asked),
		since:    make(map[string]time.Time),
		kick:     make(chan struct{}, 1),
	}
}

func (o *owners) run(ctx context.Context) {
	report := time.NewTicker(o.d.s.Timing.Report.D())
	defer report.Stop()
	ask := time.NewTicker(askInterval)
	defer ask.Stop()
	var asked time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-report.C:
			go o.reportAll(ctx)
			go o.resend(ctx)
		case <-ask.C:
			go o.ask(ctx)
		case <-o.kick:
			// A burst of ended streams makes one offer, not one each.
			if d := time.Until(asked.Add(5 * time.Millisecond)); d > 0 {
				backoff.For(ctx, d)
			}
			asked = time.Now()
			go o.ask(ctx)
		}
	}
}

// poke asks for an offer soon, as room or work may have come.
func (o *owners) poke() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// refresh derives the servers that this host owns from the configuration in
// force and the members.
func (o *owners) refresh() {
	o.refreshing.Lock()
	defer o.refreshing.Unlock()
	s := o.d.notes.snapshot()
	o.holders.SetCandidates(o.d.members.candidates())
	if _, _, n, _ := s.Len(); o.holders.Len() > 2*n {
		o.holders.Forget()
	}
	express := expressOf(s)
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
	gained := o.table.Own(l)
	for _, n := range gained {
		o.unlisted[n] = true
	}
	o.fenceDue = o.fenceDue || len(gained) > 0
	o.d.metrics.owned.Set(float64(len(o.table.Names())))
	o.mu.Unlock()
	if len(gained) > 0 {
		o.log.Info("servers gained", zap.Int("servers", len(gained)))
		go o.reportAll(o.d.ctx)
	}
}

// ownerKey is the rendezvous key of a backend server's owner.
func ownerKey(server string) string { return "server:" + server }

// isLeaving reports whether the platform's list has said that the server at an
// address is leaving.
func (o *owners) isLeaving(a netip.AddrPort) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving[a]
}

// leavingAt marks the servers at an address as leaving.
func (o *owners) leavingAt(a netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[a] = true
	for _, n := range o.table.Names() {
		if v, _ := o.table.Get(n); v.Address == a {
			o.table.Leave(n)
		}
	}
}

// reportAll asks each owned server for its load, and gives orders that are due.
func (o *owners) reportAll(ctx context.Context) {
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
		wg.Go(func() { o.report(ctx, n) })
	}
	wg.Wait()
	o.mu.Lock()
	o.wantVersions()
	steps := o.orders.Next(time.Now())
	o.mu.Unlock()
	for _, t := range steps {
		go o.step(ctx, t)
	}
}

// report asks one server for its load.
func (o *owners) report(ctx context.Context, n string) {
	o.mu.Lock()
	v, ok := o.table.Get(n)
	list := o.unlisted[n]
	o.mu.Unlock()
	if !ok {
		return
	}
	l, err := o.d.engines.Load(ctx, v.Address)
	if err == nil && list {
		err = o.list(ctx, v)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.d.metrics.retry("report", err)
		if o.misses[n]++; o.misses[n] >= reportMisses {
			o.table.Down(n)
		}
		return
	}
	o.misses[n] = 0
	w, _ := o.table.View(n)
	o.table.Report(time.Now(), n, l)
	if w.Down {
		o.poke()
	}
	o.failed[n] = l.Failed
}

// list counts the streams on a server that this host has begun to own. Those
// whose driver is gone are adopted; those of a live host are counted until gone.
func (o *owners) list(ctx context.Context, v release.Server) error {
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
			o.adopt(v.Name, t, r.Prompt)
		case !r.Finished:
			foreign++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Foreign(v.Name, foreign)
	if foreign == 0 {
		delete(o.unlisted, v.Name)
	}
	return nil
}

// wantVersions states the newest version of each trainer on each owned server of
// its deployment; o.mu is held.
func (o *owners) wantVersions() {
	s := o.d.notes.snapshot()
	for _, n := range o.table.Names() {
		v, _ := o.table.Get(n)
		s.EachTrainer(func(t release.Trainer) {
			if w := o.versions[t.Name]; t.Deployment == v.Deployment && w > 0 {
				k := weights.Target{Server: n, Model: t.Name}
				o.orders.Want(k, w)
				o.orders.Report(time.Now(), k, o.table.Version(n, t.Name), o.failed[n] == t.Name)
			}
		})
	}
	o.orders.Keep(func(t weights.Target) bool { return o.table.Owns(t.Server) })
}

// step carries out one step of an order: a permit, or the order itself.
func (o *owners) step(ctx context.Context, t weights.Step) {
	o.mu.Lock()
	v, ok := o.table.Get(t.Server)
	fence := o.fence
	o.mu.Unlock()
	if !ok {
		return
	}
	if t.Permit {
		a := o.askPermit(ctx, v.Deployment, &entryhost.PermitRequest{Server: t.Server, Model: t.Model, Version: t.Version})
		o.mu.Lock()
		o.orders.Permitted(time.Now(), t.Target, a.Granted, a.After)
		again := a.Granted
		var l []weights.Step
		if again {
			l = o.orders.Next(time.Now())
		}
		o.mu.Unlock()
		for _, s := range l {
			go o.step(ctx, s)
		}
		return
	}
	err := o.d.engines.Order(ctx, v.Address, &engine.Order{Model: t.Model, Version: int64(t.Version), Fence: fence})
	if err != nil {
		o.d.metrics.retry("order", err)
		o.log.Warn("order failed", zap.String("server", t.Server), zap.Error(err))
	}
	o.mu.Lock()
	o.orders.Ordered(time.Now(), t.Target, t.Version, err == nil)
	o.fenceDue = o.fenceDue || outcome.Is(err, outcome.ReasonStaleFence)
	o.mu.Unlock()
}

// askPermit asks the publisher of a deployment for a permit. Without an answer
// the owner asks again later.
func (o *owners) askPermit(ctx context.Context, deployment string, q *entryhost.PermitRequest) *entryhost.PermitAnswer {
	if p, ok := o.d.notes.snapshot().Deployment(deployment); ok && p.LoadsAtOnce == 0 {
		return &entryhost.PermitAnswer{Granted: true}
	}
	id, err := o.d.members.holder("publisher:"+deployment, "")
	a := &entryhost.PermitAnswer{}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		err = o.d.call(ctx, id, entryhost.Permit, q, a)
	}
	if err != nil {
		o.d.metrics.retry("permit", err)
		return &entryhost.PermitAnswer{After: permitRetry}
	}
	return a
}

// permit answers an owner's question as the publisher of a deployment.
func (o *owners) permit(q *entryhost.PermitRequest) *entryhost.PermitAnswer {
	s := o.d.notes.snapshot()
	v, _ := s.Server(q.Server)
	p, _ := s.Deployment(v.Deployment)
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.permits[p.Name]
	if m == nil {
		m = weights.NewPermits(weights.PermitConfig{Lease: permitLease, Retry: permitRetry})
		o.permits[p.Name] = m
	}
	m.SetAtOnce(p.LoadsAtOnce)
	t := weights.Target{Server: q.Server, Model: q.Model}
	if q.Done {
		m.Done(t)
		return &entryhost.PermitAnswer{}
	}
	ok, after := m.Ask(time.Now(), t)
	return &entryhost.PermitAnswer{Granted: ok, After: after}
}

// renewFence appends an ownership record; its offset is this host's fencing
// number from then on.
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

// StreamOwnership is the log's stream of ownership records.
const StreamOwnership = "ownership"

// wake takes word of new work or of a new version.
func (o *owners) wake(q *entryhost.WakeRequest) error {
	if q.Version > 0 {
		o.learn(q.Trainer, q.Version)
		t, _ := o.d.notes.snapshot().Trainer(q.Trainer)
		o.d.steps.learn(q.Trainer, q.Version, t.StalenessBound)
	}
	o.mu.Lock()
	if a := o.asked[q.Trainer]; a != nil {
		a.idle = false
	}
	o.mu.Unlock()
	o.poke()
	return nil
}

// learn takes a trainer's newest version.
func (o *owners) learn(trainer string, v rollout.Version) {
	o.mu.Lock()
	newer := v > o.versions[trainer]
	if newer {
		o.versions[trainer] = v
	}
	o.mu.Unlock()
	if newer {
		go o.reportAll(o.d.ctx)
	}
}

// views returns the owned servers at a glance.
func (o *owners) views() []entryhost.ServerStatus {
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

// busy reports whether this host drives streams, or holds samples that no
// coordinator has taken.
func (o *owners) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.streams) > 0 {
		return true
	}
	for _, h := range o.held {
		if !h.sent {
			return true
		}
	}
	return false
}
