package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/incarnation"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// Where possible, the steps of a model are driven by one host, the model's preferred
// driver: it keeps its connections to the model's engines from step to step, and knows how
// many samples it has at each of them. A wrong or stale preferred driver does no harm: a
// host that cannot hand a step off to it drives the step itself and becomes the preferred
// driver.

const (
	// preferredDriversTopic holds the preferred driver of each model.
	preferredDriversTopic = "keyed.homes"
	// preferredDriversMaxAge is how long the preferred drivers are used before they are
	// read again.
	preferredDriversMaxAge = 2 * time.Second
	// preferredDriversTimeout is how long reading the preferred drivers may delay a step. The
	// reading itself goes on, for the next step.
	preferredDriversTimeout = 200 * time.Millisecond
	// preferredCheckInterval is the time between two checks whether a model has a preferred
	// driver that is smaller than this host. It is longer by preferredRankStep for each rank.
	preferredCheckInterval = 2 * time.Second
	preferredRankStep      = 50 * time.Millisecond
)

// driverRecord is the record of a model's preferred driver.
type driverRecord struct {
	Driver stepjournal.Driver `msgpack:"d"`
	// Share is the fraction of a processor core that the host may use.
	Share float64 `msgpack:"s"`
}

// preferred is this host's view of the models' preferred drivers.
type preferred struct {
	g  *Gateway
	mu sync.Mutex
	// all holds the preferred drivers by model, as read at readAt.
	all    map[string]driverRecord
	readAt time.Time
	// end is the end offset of the topic as of readAt.
	end int64
	// reading is the reading in progress, nil if there is none.
	reading *driversReading
}

// driversReading is a reading of the preferred drivers, for all that wait for it.
type driversReading struct {
	// done is closed at the end. After it, ok reports whether the drivers were read.
	done chan struct{}
	ok   bool
}

func newPreferred(g *Gateway) *preferred { return &preferred{g: g, all: make(map[string]driverRecord)} }

// lookup returns the preferred driver of a model. current is false if the drivers cannot be
// read within preferredDriversTimeout; the record may then be out of date.
func (p *preferred) lookup(ctx context.Context, model string) (r driverRecord, current bool) {
	current = p.refresh(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all[model], current
}

// refresh has the preferred drivers read if they are older than preferredDriversMaxAge. It
// returns false if that fails or takes too long; those known may then be out of date.
func (p *preferred) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, preferredDriversTimeout)
	defer cancel()
	return p.await(ctx)
}

// await is refresh with the time that ctx leaves.
func (p *preferred) await(ctx context.Context) bool {
	r := p.startReading()
	if r == nil {
		return true
	}
	select {
	case <-r.done:
		return r.ok
	case <-ctx.Done():
		return false
	}
}

// readingDone returns a channel that is closed once the preferred drivers were read again, nil if those
// known are recent.
func (p *preferred) readingDone() <-chan struct{} {
	if r := p.startReading(); r != nil {
		return r.done
	}
	return nil
}

// startReading returns the reading in progress, which it begins if need be. It returns nil if the
// drivers known are recent.
func (p *preferred) startReading() *driversReading {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.readAt) < preferredDriversMaxAge {
		return nil
	}
	if p.reading == nil && p.g.ctx.Err() != nil {
		return nil
	}
	if p.reading == nil {
		r := &driversReading{done: make(chan struct{})}
		p.reading = r
		p.g.wg.Go(func() { p.read(r) })
	}
	return p.reading
}

// read carries out a reading. Its result is dropped if the drivers have changed meanwhile.
func (p *preferred) read(r *driversReading) {
	defer close(r.done)
	all, end, err := p.readAll()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading != r {
		return
	}
	p.reading = nil
	if err == nil {
		p.all, p.readAt, p.end, r.ok = all, time.Now(), end, true
	}
}

// others returns the preferred drivers but this host, by host.
func (p *preferred) others() map[string]stepjournal.Driver {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := make(map[string]stepjournal.Driver)
	for _, x := range p.all {
		if x.Driver.Host != p.g.self.Host {
			r[x.Driver.Host] = x.Driver
		}
	}
	return r
}

// readAll reads the preferred drivers and the end offset of their topic.
func (p *preferred) readAll() (map[string]driverRecord, int64, error) {
	all := make(map[string]driverRecord)
	n, err := readNewest(p.g.ctx, p.g.c.Log, partitionlog.Partition{Topic: preferredDriversTopic}, func(k partitionlog.KeyedRecord) {
		var v driverRecord
		if err := boundedmsgpack.Unmarshal(k.Value, &v); err != nil {
			p.g.unreadable.skipped(preferredDriversTopic, err, zap.String("model", k.Key))
			return
		}
		all[k.Key] = v
	})
	if err != nil {
		p.g.logHealth.failed(preferredDriversTopic, preferredDriversTopic, err)
		return nil, 0, err
	}
	p.g.logHealth.answered(preferredDriversTopic)
	return all, n.end, nil
}

// choose returns the driver for a new step of a model, and reports whether this host should
// become the model's preferred driver. A host replaces a preferred driver with a smaller
// processor share, unless it is itself preferred for some model already. A host that cannot
// read the preferred drivers relies on what it knows, and replaces none.
func (p *preferred) choose(ctx context.Context, model string) (stepjournal.Driver, bool) {
	self := p.g.self
	r, current := p.lookup(ctx, model)
	switch {
	case r.Driver.Host == "":
		return self, current
	case r.Driver.Host == self.Host:
		return self, false
	case current && r.Share < p.g.s.ProcessorShare && !p.isPreferred(self.Host):
		return self, true
	}
	return r.Driver, false
}

// successor returns the host that should drive a step of a model after gone: the preferred
// driver, or this host if there is no other.
func (p *preferred) successor(ctx context.Context, model string, gone stepjournal.Driver) stepjournal.Driver {
	r, _ := p.lookup(ctx, model)
	if r.Driver.Host == "" || r.Driver.Host == gone.Host {
		return p.g.self
	}
	return r.Driver
}

// improve makes this host the preferred driver of one model that has none, or a smaller one,
// if it is not preferred already. Steps that run stay where they are. The claim is
// conditional, so that one of several hosts succeeds.
func (p *preferred) improve(ctx context.Context) {
	t := p.g.Table()
	if t == nil || !p.refresh(ctx) || p.isPreferred(p.g.self.Host) {
		return
	}
	m, ok := p.weakest(t.Models())
	if ok {
		p.claimAt(m, p.expectedEnd())
	}
}

// weakest returns the model whose preferred driver has the smallest processor share, if that
// is smaller than this host's. A model without a preferred driver comes first.
func (p *preferred) weakest(models []string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, share := "", p.g.s.ProcessorShare
	for _, m := range models {
		if s := p.all[m].Share; s < share {
			best, share = m, s
		}
	}
	return best, best != ""
}

func (p *preferred) expectedEnd() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.end
}

// isPreferred reports whether a host is the preferred driver of any model.
func (p *preferred) isPreferred(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.all {
		if r.Driver.Host == host {
			return true
		}
	}
	return false
}

// claim makes this host the preferred driver of a model.
func (p *preferred) claim(model string) { p.claimAt(model, partitionlog.NoCondition) }

// claimAt is claim under the condition that no host has claimed a model since end, unless
// end is partitionlog.NoCondition.
func (p *preferred) claimAt(model string, end int64) {
	r := driverRecord{Driver: p.g.self, Share: p.g.s.ProcessorShare}
	b, err := msgpack.Marshal(&r)
	if err != nil {
		p.g.log.Error("preferred drivers: record cannot be encoded; not claimed",
			zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(p.g.ctx, appendTimeout)
	defer cancel()
	_, err = p.g.c.Log.Append(ctx, partitionlog.AppendRequest{
		Partition: partitionlog.Partition{Topic: preferredDriversTopic},
		Records:   [][]byte{partitionlog.EncodeKeyed(model, b)}, ExpectedEnd: end,
	})
	if outcome.HasReason(err, partitionlog.ReasonMoved) {
		p.forget() // another host was first
		return
	}
	if err != nil {
		p.g.log.Warn("preferred drivers: claim failed", zap.String("model", model),
			zap.Error(err))
		return
	}
	p.mu.Lock()
	p.all[model], p.reading = r, nil
	p.mu.Unlock()
	p.g.log.Info("preferred drivers: this host is that of the model", zap.String("model", model),
		zap.Float64("share", r.Share))
}

// forget has the preferred drivers read again at their next use.
func (p *preferred) forget() {
	p.mu.Lock()
	p.readAt, p.reading = time.Time{}, nil
	p.mu.Unlock()
}

// reclaim makes a restarted host the preferred driver of the models of its previous
// incarnation. It retries until the preferred drivers can be read.
func (p *preferred) reclaim() {
	for !p.await(p.g.ctx) {
		if !backoff.Sleep(p.g.ctx, logRetryDelay) {
			return
		}
	}
	p.mu.Lock()
	var l []string
	for m, r := range p.all {
		if r.Driver.Host != p.g.self.Host && p.isOwnIncarnation(r.Driver) {
			l = append(l, m)
		}
	}
	p.mu.Unlock()
	for _, m := range l {
		p.claim(m)
	}
}

// isOwnIncarnation reports whether a driver is an incarnation of this host, by name and peer
// address: the current one or a previous one.
func (p *preferred) isOwnIncarnation(d stepjournal.Driver) bool {
	return d.Peers == p.g.self.Peers && incarnation.IsOf(d.Host, p.g.s.Name)
}
