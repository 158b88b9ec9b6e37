// Package owner admits all work to the backend servers that a host owns.
//
// Table is a pure core. As one host admits everything to a server, its count of
// running streams is exact, whatever the server's own report says and however
// late it comes. Streams that another host still drives, from before the
// ownership moved, are counted from the server's list as foreign.
package owner

import (
	"cmp"
	"slices"
	"time"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
)

// Class is the kind of work, in the order of its right to a server.
type Class uint8

const (
	// Rollout work fills what the interactive work leaves.
	Rollout Class = iota
	// Interactive work has a caller that waits.
	Interactive
)

// Config constructs a Table.
type Config struct {
	// Reserve is the part of an interactive deployment's capacity that rollouts
	// leave free, in [0, 1).
	Reserve float64
}

// server is one owned backend server.
type server struct {
	release.Server
	// running holds the admitted streams by id; len(running) <= Capacity.
	running map[string]Class
	// foreign counts streams that other hosts drive.
	foreign int
	// leaving is set by a release note, the platform's list or the server itself,
	// and by the first of them for good.
	leaving bool
	// interactive tells that callers use the server's deployment.
	interactive bool
	versions    map[string]rollout.Version
	// seen is when the server answered last; unseen servers get no work.
	seen time.Time
	// down is set while the server does not answer.
	down bool
	// express is the number of rollouts that an express server runs at once; 0 for
	// an ordinary server.
	express int
	// loadAt is when a load of weights is planned; zero when none is.
	loadAt time.Time
}

// Table holds the servers that this host owns. Not safe for concurrent use.
type Table struct {
	c Config
	m map[string]*server
	// order lists the names of m, sorted, so that no decision depends on map order.
	order []string
	// marked holds servers that were said to be leaving, owned or not.
	marked map[string]bool
}

// New returns a table without servers.
func New(c Config) *Table {
	return &Table{c: c, m: make(map[string]*server), marked: make(map[string]bool)}
}

// Owned is one server that the host should own.
type Owned struct {
	release.Server
	Interactive bool
	// Express is the number of rollouts that an express server runs at once; 0 for
	// an ordinary server.
	Express int
}

// Own sets the servers that the host owns. It returns the names of those that
// were not owned before. Work on a server that is not owned any longer goes on
// and is counted until it ends.
func (t *Table) Own(l []Owned) []string {
	want := make(map[string]*Owned, len(l))
	for i := range l {
		want[l[i].Name] = &l[i]
	}
	for n, s := range t.m {
		o, ok := want[n]
		if !ok || o.Address != s.Address {
			delete(t.m, n)
			continue
		}
		s.Server = o.Server
		s.interactive = o.Interactive
		s.express = o.Express
		s.leaving = s.leaving || o.Leaving
	}
	var gained []string
	for i := range l {
		n := l[i].Name
		if _, ok := t.m[n]; ok {
			continue
		}
		t.m[n] = &server{
			Server:      l[i].Server,
			running:     make(map[string]Class),
			interactive: l[i].Interactive,
			express:     l[i].Express,
			leaving:     l[i].Leaving || t.marked[n],
			down:        true,
		}
		gained = append(gained, n)
	}
	t.order = t.order[:0]
	for n := range t.m {
		t.order = append(t.order, n)
	}
	slices.Sort(t.order)
	slices.Sort(gained)
	return gained
}

// Names returns the names of the owned servers, sorted. It must not be changed.
func (t *Table) Names() []string { return t.order }

// Owns reports whether the host owns the server.
func (t *Table) Owns(name string) bool { return t.m[name] != nil }

// Get returns the entry of an owned server.
func (t *Table) Get(name string) (release.Server, bool) {
	s, ok := t.m[name]
	if !ok {
		return release.Server{}, false
	}
	return s.Server, true
}

// Leave marks a server as leaving; it receives no new work from now on.
func (t *Table) Leave(name string) {
	t.marked[name] = true
	if s, ok := t.m[name]; ok {
		s.leaving = true
	}
}

// Report takes a server's own report.
func (t *Table) Report(now time.Time, name string, l *engine.Load) {
	s, ok := t.m[name]
	if !ok {
		return
	}
	s.seen = now
	s.down = false
	s.versions = make(map[string]rollout.Version, len(l.Versions))
	for m, v := range l.Versions {
		s.versions[m] = rollout.Version(v)
	}
	if l.Leaving {
		t.Leave(name)
	}
}

// Down tells that a server does not answer on a new connection.
func (t *Table) Down(name string) {
	if s, ok := t.m[name]; ok {
		s.down = true
	}
}

// Foreign states how many streams on the server other hosts drive.
func (t *Table) Foreign(name string, n int) {
	if s, ok := t.m[name]; ok {
		s.foreign = n
	}
}

// PlanLoad tells when the server will load weights; the zero time for never.
func (t *Table) PlanLoad(name string, at time.Time) {
	if s, ok := t.m[name]; ok {
		s.loadAt = at
	}
}

// Version returns the version of a model that the server reported last.
func (t *Table) Version(name, model string) rollout.Version {
	if s, ok := t.m[name]; ok {
		return s.versions[model]
	}
	return 0
}

// Offers returns the room for rollouts on each server of a deployment.
func (t *Table) Offers(now time.Time, deployment, model string) []rollout.Offer {
	var l []rollout.Offer
	for _, n := range t.order {
		s := t.m[n]
		if s.Deployment != deployment {
			continue
		}
		r := t.room(s, Rollout)
		if r <= 0 {
			continue
		}
		o := rollout.Offer{Server: n, Room: r, Running: len(s.running), Version: s.versions[model], Until: -1, Express: s.express > 0}
		if !s.loadAt.IsZero() {
			o.Until = max(0, s.loadAt.Sub(now).Seconds())
		}
		l = append(l, o)
	}
	slices.SortStableFunc(l, func(a, b rollout.Offer) int { return cmp.Compare(b.Room, a.Room) })
	return l
}

// room returns how much more work of a class the server takes.
func (t *Table) room(s *server, c Class) int {
	if s.leaving || s.down {
		return 0
	}
	r := s.Capacity
	if c == Rollout && s.interactive {
		r -= int(float64(s.Capacity) * t.c.Reserve)
	}
	if c == Rollout && s.express > 0 {
		r = min(r, s.express)
	}
	return r - len(s.running) - s.foreign
}

// Turn is a trainer that is offered room.
type Turn struct {
	Trainer string
	// Share is the trainer's weight; Running is the number of its streams here.
	Share   float64
	Running int
	// Left is the number of samples that its oldest step still lacks, as its
	// coordinator said last; 0 when it has none or has not said.
	Left int
	// Since is when its oldest step with pending samples was opened; zero for none.
	Since time.Time
}

// Rule is the order in which trainers are offered room.
type Rule string

// The rules.
const (
	// RuleFair offers room to the trainer with the fewest streams for its share.
	RuleFair Rule = "fair"
	// RuleNearest offers it to the trainer whose step is nearest to whole.
	RuleNearest Rule = "nearest"
	// RuleOldest offers it to the trainer whose step was opened first, so that one
	// step's stragglers run while the next step's samples fill the servers.
	RuleOldest Rule = "oldest"
)

// overShare is how many times its share a trainer may run before others come
// first.
const overShare = 2.5

// Turns orders trainers for an offer. A trainer that already runs far more than
// its share of the streams comes last, whatever the rule.
func Turns(l []Turn, r Rule) {
	all, shares := 0, 0.0
	for i := range l {
		all += l[i].Running
		shares += l[i].Share
	}
	over := func(t *Turn) int {
		if float64(t.Running)*shares > overShare*t.Share*float64(all) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(l, func(a, b Turn) int {
		load := cmp.Compare(float64(a.Running)/a.Share, float64(b.Running)/b.Share)
		first := 0
		switch r {
		case RuleNearest:
			first = cmp.Compare(a.Left, b.Left)
		case RuleOldest:
			first = a.Since.Compare(b.Since)
		}
		return cmp.Or(cmp.Compare(over(&a), over(&b)), first, load, cmp.Compare(a.Trainer, b.Trainer))
	})
}

// Pick returns the server of a deployment with the most room for interactive
// work. Errors are *outcome.Error: no-server, queue-full.
func (t *Table) Pick(deployment string) (string, error) {
	best, room, found := "", 0, false
	for _, n := range t.order {
		s := t.m[n]
		if s.Deployment != deployment || s.leaving || s.down {
			continue
		}
		found = true
		if r := t.room(s, Interactive); r > room {
			best, room = n, r
		}
	}
	if best != "" {
		return best, nil
	}
	if found {
		return "", outcome.Refuse(outcome.ReasonQueueFull, deployment)
	}
	return "", outcome.Refuse(outcome.ReasonNoServer, deployment)
}

// Start admits a stream to a server. Errors are *outcome.Error and not-run.
func (t *Table) Start(name, stream string, c Class) error {
	s, ok := t.m[name]
	if !ok {
		return outcome.Refuse(outcome.ReasonNotOwner, name)
	}
	if s.leaving {
		return outcome.Refuse(outcome.ReasonDraining, name)
	}
	if s.down {
		return outcome.Refuse(outcome.ReasonUnreachable, name)
	}
	if t.room(s, c) <= 0 {
		return outcome.Refuse(outcome.ReasonQueueFull, name)
	}
	s.running[stream] = c
	bug.Assert(len(s.running) <= s.Capacity, bug.Capacity, "%s: %d of %d", name, len(s.running), s.Capacity)
	return nil
}

// Adopt counts a stream that runs on the server already, such as one of a host
// that is gone. It is not new work, so a leaving server does not refuse it.
func (t *Table) Adopt(name, stream string) {
	if s, ok := t.m[name]; ok {
		s.running[stream] = Rollout
	}
}

// End tells that a stream has ended.
func (t *Table) End(name, stream string) {
	if s, ok := t.m[name]; ok {
		delete(s.running, stream)
	}
}

// View is an owned server at a glance.
type View struct {
	release.Server
	Running  int
	Foreign  int
	Leaving  bool
	Down     bool
	Versions map[string]rollout.Version
}

// View returns the state of an owned server.
func (t *Table) View(name string) (View, bool) {
	s, ok := t.m[name]
	if !ok {
		return View{}, false
	}
	return View{s.Server, len(s.running), s.foreign, s.leaving, s.down, s.versions}, true
}
