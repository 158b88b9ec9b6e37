package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/ring"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/weights"
)

// offerInterval is the time between two offers while nothing changes.
const offerInterval = 500 * time.Millisecond

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
