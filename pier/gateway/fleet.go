package gateway

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/stepplan"
)

const (
	// reportAge is how long a load stated in an answer is taken into account.
	loadMaxAge = 400 * time.Millisecond
	// avoidFirst is how long a server is avoided after it failed; the time doubles
	// with each further failure up to avoidMost.
	initialAvoidTime = 300 * time.Millisecond
	maxAvoidTime     = 3 * time.Second
	// refusalsMost bounds the doublings of the time for which a full server is avoided.
	maxRefusalDoublings = 3
	// loadTime is how long an engine takes to load a version.
	loadDuration = 950 * time.Millisecond
	// paceAge is how long a measured pace of a server is relied on.
	paceMaxAge = 3 * time.Second
	// paceWeight is the weight of a new measurement.
	paceWeight = 0.5
)

// fleet is what this host knows of the backend servers.
type fleet struct {
	g  *Gateway
	mu sync.Mutex
	// dir, list and state are guarded by mu; list is replaced, never changed.
	dir       *directory.Directory
	byService map[string][]directory.Server
	states    map[string]*serverState
	// changed is closed and replaced when a server may have room again.
	changed chan struct{}
}

// serverState is what this host knows of a server beside its registration.
type serverState struct {
	// running is the number of requests that this host has at the server.
	running int
	// load is what the server last stated, at loadAt; own is running at that time.
	load       backend.Load
	loadAt     time.Time
	ownRunning int
	// avoid is until when the server gets work only if no other can; fails counts
	// the failures in a row.
	avoidUntil time.Time
	failures   int
	// refusals counts the requests in a row that the server had no room for.
	refusals int
	// ordered holds the versions that the server was ordered to load.
	ordered map[string]orderedVersion
	// pace is the time between two events of a generation, measured at paced.
	pace  time.Duration
	paced time.Time
}

type orderedVersion struct {
	version int64
	ready   time.Time
}

func newFleet(g *Gateway) *fleet {
	return &fleet{
		g: g, dir: directory.New(), byService: make(map[string][]directory.Server),
		states: make(map[string]*serverState), changed: make(chan struct{}),
	}
}

func (f *fleet) run() {
	w := follower{g: f.g, topic: f.g.c.Sources.Servers, put: f.put, retainKeys: f.retainKeys, readDone: f.readDone, minInterval: serversReadInterval}
	w.run()
}

func (f *fleet) put(key string, value []byte, offset int64) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(value) == 0 {
		f.dir.Remove(key, now)
		f.g.log.Info("servers: registration removed", zap.String("server", key), zap.Int64("offset", offset))
		return
	}
	s, err := f.g.c.Sources.ReadServer(key, value)
	if err != nil {
		f.g.metrics.unreadable.WithLabelValues(f.g.c.Sources.Servers).Inc()
		f.g.log.Warn("servers: record cannot be read", zap.String("server", key), zap.Int64("offset", offset), zap.Error(err))
		return
	}
	f.dir.Put(s)
}

func (f *fleet) retainKeys(keys map[string]bool) {
	f.mu.Lock()
	f.dir.Retain(keys, time.Now())
	f.mu.Unlock()
}

func (f *fleet) readDone(err error) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.dir.LogAway()
	} else {
		f.dir.LogBack(now)
	}
	if f.dir.Changed() {
		f.rebuild(now)
	}
}

// rebuild makes the lists of servers by service. The caller holds mu.
func (f *fleet) rebuild(now time.Time) {
	l := make(map[string][]directory.Server)
	known := make(map[string]bool)
	for _, s := range f.dir.Snapshot(now) {
		known[s.ID] = true
		l[s.Service] = append(l[s.Service], s)
		if f.states[s.ID] == nil {
			f.states[s.ID] = &serverState{ordered: make(map[string]orderedVersion)}
		}
	}
	for id, t := range f.states {
		if !known[id] && t.running == 0 {
			delete(f.states, id)
		}
	}
	f.byService = l
	f.signalCapacity()
}

// signal wakes those that wait for room. The caller holds mu.
func (f *fleet) signalCapacity() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// room returns a channel that is closed when a server may have room.
func (f *fleet) capacityChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// lease is the use of a server by one request of this host.
type reservation struct {
	f *fleet
	s directory.Server
}

// engine picks the engine for a sample and reserves a place there.
func (f *fleet) pickEngine(service, model string, min int64, slots int) (*reservation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, at := f.eligibleEngines(service, model, slots, time.Now())
	i := stepplan.Pick(c, min)
	if i < 0 {
		return nil, false
	}
	s := f.byService[service][at[i]]
	f.states[s.ID].running++
	return &reservation{f: f, s: s}, true
}

// moves returns the places of the runs that should go on at another engine.
func (f *fleet) moves(service, model string, slots int, runs []stepplan.Run, limit int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, _ := f.eligibleEngines(service, model, slots, time.Now())
	return stepplan.Moves(c, runs, limit)
}

// engines returns the engines that take samples, and their places in the list of
// the service. The caller holds mu.
func (f *fleet) eligibleEngines(service, model string, slots int, now time.Time) ([]stepplan.Engine, []int) {
	l := f.byService[service]
	c := make([]stepplan.Engine, 0, len(l))
	at := make([]int, 0, len(l))
	fastest := f.fastest(l, now)
	for i, s := range l {
		t := f.states[s.ID]
		if s.Leaving || now.Before(t.avoidUntil) {
			continue
		}
		n := s.Slots
		if n == 0 {
			n = slots
		}
		at = append(at, i)
		c = append(c, stepplan.Engine{
			ID: s.ID, Version: t.version(s, model, now), Slots: n,
			Running: t.estimatedRunning(now), Near: s.Domain == f.g.s.Domain, Slowness: t.slowness(fastest, now),
		})
	}
	return c, at
}

// fastest returns the pace of the fastest server, 0 if none was measured. The
// caller holds mu.
func (f *fleet) fastest(l []directory.Server, now time.Time) time.Duration {
	var r time.Duration
	for _, s := range l {
		t := f.states[s.ID]
		if t.pace > 0 && now.Sub(t.paced) < paceMaxAge && (r == 0 || t.pace < r) {
			r = t.pace
		}
	}
	return r
}

// slowness returns the server's pace as a multiple of the fastest one's, 1 if it
// is not known.
func (t *serverState) slowness(fastest time.Duration, now time.Time) float64 {
	if fastest == 0 || t.pace == 0 || now.Sub(t.paced) >= paceMaxAge {
		return 1
	}
	return float64(t.pace) / float64(fastest)
}

// paced takes the time between two events that a generation showed.
func (u *reservation) paced(d time.Duration) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	t := u.f.states[u.s.ID]
	if t == nil {
		return
	}
	now := time.Now()
	if t.pace == 0 || now.Sub(t.paced) >= paceMaxAge {
		t.pace = d
	} else {
		t.pace += time.Duration(paceWeight * float64(d-t.pace))
	}
	t.paced = now
}

// version returns the version of a model that the server is believed to hold.
func (t *serverState) version(s directory.Server, model string, now time.Time) int64 {
	v := s.Versions[model]
	if o, ok := t.ordered[model]; ok && !now.Before(o.ready) {
		v = max(v, o.version)
	}
	return v
}

// used returns how many requests are at the server, as far as is known: those of
// this host, and those of others when the server last told.
func (t *serverState) estimatedRunning(now time.Time) int {
	n := t.running
	if now.Sub(t.loadAt) < loadMaxAge {
		n += max(t.load.Running+t.load.Waiting-t.ownRunning, 0)
	}
	return n
}

// plain picks a server for a plain request, beside those in tried.
func (f *fleet) pickServer(service string, tried map[string]bool) (*reservation, bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	best, bestCost := -1, 0.0
	l := f.byService[service]
	for i, s := range l {
		t := f.states[s.ID]
		if s.Leaving || tried[s.ID] {
			continue
		}
		c := float64(t.estimatedRunning(now)) / float64(max(s.Slots, 1))
		if now.Before(t.avoidUntil) {
			c += avoidCost
		}
		if s.Domain != f.g.s.Domain {
			c += remoteDomainCost
		}
		if best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if best < 0 {
		return nil, false
	}
	f.states[l[best].ID].running++
	return &reservation{f: f, s: l[best]}, true
}

const (
	// avoidCost puts a server that failed just now behind all others.
	avoidCost = 100
	// farCost is the load that another failure domain's round trip is worth.
	remoteDomainCost = 0.1
)

// observe takes what a server says of itself in an answer.
func (u *reservation) observeLoad(a *backend.Response) {
	l, ok := a.Load()
	if !ok {
		return
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.load, t.loadAt, t.ownRunning = l, time.Now(), t.running
	}
}

// version takes the version that a server states for a model.
func (u *reservation) version(model string, v int64) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil && t.ordered[model].version > v {
		delete(t.ordered, model)
	}
	if u.f.dir.Observe(u.s.ID, model, v) {
		u.f.rebuild(time.Now())
	}
}

// failed puts the server behind others for a while.
func (u *reservation) failed(reason string) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	t := u.f.states[u.s.ID]
	if t == nil {
		return
	}
	d := backoff.Doubled(initialAvoidTime, maxAvoidTime, t.failures)
	t.failures++
	t.avoidUntil = time.Now().Add(d)
	u.f.g.log.Info("servers: avoided", zap.String("server", u.s.ID), zap.String("reason", reason), zap.Duration("for", d))
}

// refused takes a refusal. A server without room gets no work for d, and for twice
// as long with each refusal in a row; another server at the address is a failure.
func (u *reservation) refused(r *backend.Response, d time.Duration) {
	if r.Status == http.StatusMisdirectedRequest {
		u.failed(string(outcome.ReasonNotOwner))
		return
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.avoidUntil = time.Now().Add(backoff.Doubled(d, d<<maxRefusalDoublings, t.refusals))
		t.refusals++
	}
}

// accepted takes the beginning of an answer.
func (u *reservation) accepted() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.refusals = 0
	}
}

// served takes a success.
func (u *reservation) succeeded() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.failures = 0
	}
}

// done gives the place back.
func (u *reservation) release() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	u.f.states[u.s.ID].running--
	u.f.signalCapacity()
}

// ordered takes an order that was given to a server, by this host or another.
func (f *fleet) ordered(o orderlease.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.states[o.Server]; t != nil {
		t.ordered[o.Model] = orderedVersion{version: o.Version, ready: now.Add(loadDuration)}
	}
}

// notLoaded takes back an order that was not carried out.
func (f *fleet) notLoaded(server, model string, v int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.states[server]; t != nil && t.ordered[model].version == v {
		delete(t.ordered, model)
	}
}

// hasVersion takes the version that a server was found to have.
func (f *fleet) observeVersion(server, model string, v int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dir.Observe(server, model, v) {
		f.rebuild(time.Now())
	}
}

// loadable returns the servers of a service that may load weights, with the versions
// that they hold or will hold soon.
func (f *fleet) loadable(service string, now time.Time) []loadplan.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []loadplan.Server
	for _, s := range f.byService[service] {
		if s.Leaving {
			continue
		}
		v := make(map[string]int64)
		for m := range s.Versions {
			v[m] = f.states[s.ID].version(s, m, now)
		}
		l = append(l, loadplan.Server{ID: s.ID, Versions: v})
	}
	return l
}

// server returns a registered server.
func (f *fleet) server(id string) (directory.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.byService {
		for _, s := range l {
			if s.ID == id {
				return s, true
			}
		}
	}
	return directory.Server{}, false
}
