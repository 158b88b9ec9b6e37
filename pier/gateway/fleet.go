package gateway

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/enginepace"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/promptload"
)

const (
	// loadMaxAge is how long the load that a server states in an answer is used.
	loadMaxAge = 400 * time.Millisecond
	// slowdownMaxAge is how long the slowdown that a server states with its load is used. It
	// changes many times a second.
	slowdownMaxAge = 150 * time.Millisecond
	// initialAvoidTime is how long a server is avoided after a failure. The time doubles
	// with each further failure, up to maxAvoidTime.
	initialAvoidTime = 300 * time.Millisecond
	maxAvoidTime     = 3 * time.Second
	// maxUnfinished is the number of unfinished answers in a row that count as a failure. A sound server that
	// is merely slow completes one in between.
	maxUnfinished = 3
	// maxAbsentTime bounds the time for which nothing is sent to a server at whose address
	// nothing listened. A server that starts again is another incarnation and gets work at once.
	maxAbsentTime = time.Second
	// maxRegistrationBytes is the size of the longest registration that is read.
	maxRegistrationBytes = 16 << 10
	// registrationShare is the part of a host's memory, as its divisor, that the encoded registrations
	// of all servers may take. Decoded ones take some times as much.
	registrationShare = 32
	// maxRefusalDoublings bounds the doublings of the time for which a full server is
	// avoided.
	maxRefusalDoublings = 3
	// loadDuration is how long an engine usually takes to load a version.
	loadDuration = 950 * time.Millisecond
)

// fleet is this host's view of the backend servers.
type fleet struct {
	g *Gateway
	// random returns a random number from 0 to n-1; tests replace it.
	random func(n int) int
	mu     sync.Mutex
	// mu guards the fields below. The slices in byService are replaced, never modified.
	dir       *directory.Directory
	byService map[string][]directory.Server
	byID      map[string]directory.Server
	states    map[string]*serverState
	// prompts holds what is known of the prompts of each service.
	prompts map[string]*promptload.Book
	// registrations holds the encoded registrations in force, by server, and renewals when they
	// were last written.
	registrations map[string][]byte
	renewals      map[string]renewal
	// departing holds when servers are taken away, by id. It is replaced, never modified. readAt is when the
	// registrations were last read.
	departing map[string]time.Time
	readAt    time.Time
	// registeredBytes is the length of all registrations together.
	registeredBytes int
	// changed is closed and replaced when a server may have free capacity.
	changed chan struct{}
}

// serverState is what this host knows of a server beyond its registration.
type serverState struct {
	// running is the number of requests that this host has at the server; permits is the
	// number of those that may still have to wait for a permit of the server's limit.
	running int
	permits int
	// load is the load that the server last stated, at loadAt; ownRunning is the value of
	// running at that time.
	load       backend.Load
	loadAt     time.Time
	ownRunning int
	// avoidUntil is the time until which the server gets no samples, and plain requests only
	// if no other server can take them; failures is the number of failures in a row.
	avoidUntil time.Time
	failures   int
	// unfinished is the number of answers in a row that outlasted their requests without counting as failures,
	// since the last failure. left is set while an answer goes on whose request another server has answered.
	unfinished int
	left       bool
	// endsLong is set if the server has ended a long answer of unstated length since its last failure.
	endsLong bool
	// absentUntil is the time until which the server gets nothing, as nothing listened at its
	// address.
	absentUntil time.Time
	// refusals is the number of requests in a row that the server refused for lack of
	// capacity.
	refusals int
	// ordered holds the versions that the server was ordered to load, by model.
	ordered map[string]orderedVersion
	// pace is how fast the server generates, as far as this host has measured it.
	pace enginepace.Estimate
}

// orderedVersion is a version that is expected to be loaded from ready on.
type orderedVersion struct {
	version int64
	ready   time.Time
}

func newFleet(g *Gateway) *fleet {
	return &fleet{
		g: g, random: rand.IntN, prompts: make(map[string]*promptload.Book), dir: directory.New(), byService: make(map[string][]directory.Server),
		states: make(map[string]*serverState), registrations: make(map[string][]byte), renewals: make(map[string]renewal), changed: make(chan struct{}),
	}
}

func (f *fleet) run() {
	w := follower{
		g: f.g, topic: f.g.c.Sources.Servers, retainKeys: f.retainKeys, readDone: f.readDone, minInterval: serversReadInterval,
	}
	w.put = func(key string, value []byte, offset int64) { f.put(key, value, offset, w.writtenAfter) }
	w.run()
}

// put handles a registration that was written after a time.
func (f *fleet) put(key string, value []byte, offset int64, after time.Time) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(value) == 0 {
		f.dir.Unregister(key, now)
		f.forget(key)
		f.g.log.Info("servers: registration removed", zap.String("server", key),
			zap.Int64("offset", offset))
		return
	}
	if r := f.g.c.Sources.IsRenewal; r != nil && r(f.registrations[key], value) {
		f.renewals[key] = renewal{born: f.renewals[key].born, after: after}
		f.forgetFailedLoads(key, after)
		return
	}
	s, err := f.read(key, value)
	if err != nil {
		f.g.unreadable.skipped(f.g.c.Sources.Servers, err, zap.String("server", key), zap.Int64("offset", offset))
		f.dir.Doubt(key, now)
		f.forget(key)
		return
	}
	f.dir.Register(s)
	f.registeredBytes += len(value) - len(f.registrations[key])
	f.registrations[key] = bytes.Clone(value)
	f.renewals[key] = renewal{born: s.Born, after: after}
	f.forgetFailedLoads(key, after)
}

// errNoRegistrationMemory is the error of a registration that is too long, or for which the others leave
// no memory.
var errNoRegistrationMemory = errors.New("no memory for the registration")

// read decodes a registration. The caller holds mu.
func (f *fleet) read(key string, value []byte) (directory.Server, error) {
	others := f.registeredBytes - len(f.registrations[key])
	if len(value) > maxRegistrationBytes || int64(others+len(value)) > f.g.c.MemoryBytes/registrationShare {
		return directory.Server{}, errNoRegistrationMemory
	}
	return f.g.c.Sources.ReadServer(key, value)
}

// forget drops the encoded registration of a server. The caller holds mu.
func (f *fleet) forget(key string) {
	f.registeredBytes -= len(f.registrations[key])
	delete(f.registrations, key)
	delete(f.renewals, key)
}

// forgetFailedLoads drops the loads that a server was ordered to make and that its registration,
// written after a time, should name by now. The caller holds mu.
func (f *fleet) forgetFailedLoads(id string, after time.Time) {
	t := f.states[id]
	if t == nil {
		return
	}
	registered := f.dir.Registered(id)
	for m, o := range t.ordered {
		if registered[m] < o.version && after.After(o.ready.Add(loadTimeout)) {
			delete(t.ordered, m)
			f.g.log.Info("servers: load was announced and not carried out", zap.String("server", id),
				zap.String("model", m), zap.Int64("version", o.version))
		}
	}
}

func (f *fleet) retainKeys(keys map[string]bool) {
	f.mu.Lock()
	f.dir.Retain(keys, time.Now())
	for k := range f.registrations {
		if !keys[k] {
			f.forget(k)
		}
	}
	f.mu.Unlock()
}

func (f *fleet) readDone(err error) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.dir.LogUnavailable()
	} else {
		f.dir.LogRecovered(now)
		f.readAt = now
	}
	if f.dir.Changed() {
		f.rebuild(now)
	}
}

// rebuild rebuilds the lists of servers by service. The caller holds mu.
func (f *fleet) rebuild(now time.Time) {
	l := make(map[string][]directory.Server)
	byID := make(map[string]directory.Server)
	departing := make(map[string]time.Time)
	for _, s := range f.dir.Snapshot(now) {
		byID[s.ID] = s
		if s.Leaving && !s.LeavesAt.IsZero() {
			departing[s.ID] = s.LeavesAt
		}
		l[s.Service] = append(l[s.Service], s)
		if f.states[s.ID] == nil {
			f.states[s.ID] = &serverState{ordered: make(map[string]orderedVersion)}
		}
	}
	for id, t := range f.states {
		if _, known := byID[id]; !known && t.running == 0 {
			delete(f.states, id)
		}
	}
	f.g.limits.retain(byID)
	if f.g.ends.hasGivenUp() {
		f.g.ends.gone(f.removed(l)...)
	}
	if len(departing) > len(f.departing) {
		f.g.orders.wake()
	}
	f.byService, f.byID, f.departing = l, byID, departing
	f.signalCapacity()
}

// removed returns the servers that are not in the new lists l, other than those that were known
// to be leaving. The caller holds mu.
func (f *fleet) removed(l map[string][]directory.Server) []directory.Server {
	kept := make(map[directory.Incarnation]bool)
	for _, servers := range l {
		for _, s := range servers {
			kept[s.Incarnation()] = true
		}
	}
	var r []directory.Server
	for _, servers := range f.byService {
		for _, s := range servers {
			if !s.Leaving && !kept[s.Incarnation()] {
				r = append(r, s)
			}
		}
	}
	return r
}

// signalCapacity wakes those that wait for free capacity. The caller holds mu.
func (f *fleet) signalCapacity() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// capacityChanged returns a channel that is closed when a server may have free capacity.
func (f *fleet) capacityChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ordered records an order that this host or another gave to a server.
func (f *fleet) ordered(o orderlease.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.states[o.Server]; t != nil {
		t.ordered[o.Model] = orderedVersion{version: o.Version, ready: now.Add(loadDuration)}
	}
}

// notLoaded removes the record of an order that was not carried out.
func (f *fleet) notLoaded(server, model string, v int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.states[server]; t != nil && t.ordered[model].version == v {
		delete(t.ordered, model)
	}
}

// observeVersion records the version that a server was found to have.
func (f *fleet) observeVersion(server, model string, v int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dir.ObserveVersion(server, model, v) {
		f.rebuild(time.Now())
	}
}

// leaving records that an incarnation of a server stated in an answer that it leaves.
func (f *fleet) leaving(server string, born time.Time) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.dir.ObserveLeaving(server, born, now) {
		return
	}
	f.rebuild(now)
	f.g.log.Info("servers: states in an answer that it leaves", zap.String("server", server))
}

// loadable returns the servers of a service that may be ordered to load weights, with the
// versions that they are expected to have.
func (f *fleet) loadable(service string, now time.Time) []loadplan.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []loadplan.Server
	for _, s := range f.byService[service] {
		if s.Leaving {
			continue
		}
		t := f.states[s.ID]
		v := make(map[string]int64)
		for m := range s.Versions {
			v[m] = t.version(s, m, now)
		}
		full := s.Slots > 0 && t.estimatedRunning(now) >= s.Slots
		l = append(l, loadplan.Server{ID: s.ID, Versions: v, Full: full})
	}
	return l
}

// hasServers reports whether a service has servers that do not leave.
func (f *fleet) hasServers(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.byService[service], func(s directory.Server) bool { return !s.Leaving })
}

// registered returns the registered servers of a service. The list must not be changed.
func (f *fleet) registered(service string) []directory.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byService[service]
}

// isCurrent reports whether the registrations were read of late.
func (f *fleet) isCurrent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.readAt) < logUnresponsiveAfter
}

// server returns a registered server.
func (f *fleet) server(id string) (directory.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.byID[id]
	return s, ok
}
