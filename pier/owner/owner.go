// Package owner admits all work to the backend servers that a host owns.
//
// Table is a state machine without I/O. Since a single host admits all work to a server,
// its count of running streams is exact, however late or wrong the server's own report
// is. Streams that another host still drives, from before the ownership moved, are
// counted separately as foreign, from the server's list.
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

// Class is the kind of work. Interactive work may use capacity that rollouts leave free.
type Class uint8

const (
	// Rollout work uses the capacity that is not reserved for interactive work.
	Rollout Class = iota
	// Interactive work has a caller waiting for the answer.
	Interactive
)

// Config holds the parameters of a Table.
type Config struct {
	// Reserve is the fraction of an interactive deployment's capacity that rollouts leave
	// free, in [0, 1).
	Reserve float64
}

// server is the state of an owned backend server.
type server struct {
	release.Server
	// running holds the admitted streams by ID. Start keeps len(running) <= Capacity; Adopt may
	// exceed it.
	running map[string]Class
	// foreign is the number of streams on the server that other hosts drive.
	foreign int
	// leaving is set by a release note, the platform's list or the server itself, whichever
	// says so first, and is never reset.
	leaving bool
	// interactive is set when callers use the server's deployment.
	interactive bool
	versions    map[string]rollout.Version
	// lastReport is when the server answered last.
	lastReport time.Time
	// down is set while the server does not answer, and until its first report. A server
	// that is down gets no work.
	down bool
	// express is the number of rollouts that an express server runs at once; 0 for an
	// ordinary server.
	express int
	// loadAt is when a load of weights is planned; zero if none is.
	loadAt time.Time
}

// Table holds the servers that this host owns. It is not safe for concurrent use.
type Table struct {
	c Config
	m map[string]*server
	// sortedNames lists the names of m in order, so that no decision depends on map order.
	sortedNames []string
	// knownLeaving holds the names of all servers that were reported as leaving, owned or
	// not, so that a server that is owned again later is still known to leave.
	knownLeaving map[string]bool
}

// New returns a table without servers.
func New(c Config) *Table {
	return &Table{c: c, m: make(map[string]*server), knownLeaving: make(map[string]bool)}
}

// Owned describes a server that the host should own.
type Owned struct {
	release.Server
	Interactive bool
	// Express is the number of rollouts that an express server runs at once; 0 for an
	// ordinary server.
	Express int
}

// SetOwned sets the servers that the host owns, and returns the sorted names of those that were
// not owned before or whose address has changed. Streams on a server that is no longer
// owned go on running, but the table no longer counts them.
func (t *Table) SetOwned(l []Owned) []string {
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
			leaving:     l[i].Leaving || t.knownLeaving[n],
			down:        true,
		}
		gained = append(gained, n)
	}
	t.sortedNames = t.sortedNames[:0]
	for n := range t.m {
		t.sortedNames = append(t.sortedNames, n)
	}
	slices.Sort(t.sortedNames)
	slices.Sort(gained)
	return gained
}

// Names returns the sorted names of the owned servers. The caller must not modify it.
func (t *Table) Names() []string { return t.sortedNames }

// Owns reports whether the host owns the server.
func (t *Table) Owns(name string) bool { return t.m[name] != nil }

// Get returns the release entry of an owned server.
func (t *Table) Get(name string) (release.Server, bool) {
	s, ok := t.m[name]
	if !ok {
		return release.Server{}, false
	}
	return s.Server, true
}

// MarkLeaving marks a server as leaving for good. It gets no new work from now on, even
// if it becomes owned only later.
func (t *Table) MarkLeaving(name string) {
	t.knownLeaving[name] = true
	if s, ok := t.m[name]; ok {
		s.leaving = true
	}
}

// Report records a server's own report, which also shows that the server is up.
func (t *Table) Report(now time.Time, name string, l *engine.Load) {
	s, ok := t.m[name]
	if !ok {
		return
	}
	s.lastReport = now
	s.down = false
	s.versions = make(map[string]rollout.Version, len(l.Versions))
	for m, v := range l.Versions {
		s.versions[m] = rollout.Version(v)
	}
	if l.Leaving {
		t.MarkLeaving(name)
	}
}

// Down records that a server does not answer on a new connection. It gets no work until its
// next report.
func (t *Table) Down(name string) {
	if s, ok := t.m[name]; ok {
		s.down = true
	}
}

// SetForeign sets the number of streams on the server that other hosts drive.
func (t *Table) SetForeign(name string, n int) {
	if s, ok := t.m[name]; ok {
		s.foreign = n
	}
}

// PlanLoad sets when the server will load weights; the zero time means no load is planned.
func (t *Table) PlanLoad(name string, at time.Time) {
	if s, ok := t.m[name]; ok {
		s.loadAt = at
	}
}

// Version returns the version of a model that the server reported last, or 0.
func (t *Table) Version(name, model string) rollout.Version {
	if s, ok := t.m[name]; ok {
		return s.versions[model]
	}
	return 0
}

// Offers returns the free rollout capacity of the servers of a deployment that have any,
// in descending order of free slots.
func (t *Table) Offers(now time.Time, deployment, model string) []rollout.Offer {
	var l []rollout.Offer
	for _, n := range t.sortedNames {
		s := t.m[n]
		if s.Deployment != deployment {
			continue
		}
		r := t.freeSlots(s, Rollout)
		if r <= 0 {
			continue
		}
		o := rollout.Offer{
			Server: n, FreeSlots: r, Running: len(s.running), Version: s.versions[model],
			SecondsToLoad: -1, Express: s.express > 0,
		}
		if !s.loadAt.IsZero() {
			o.SecondsToLoad = max(0, s.loadAt.Sub(now).Seconds())
		}
		l = append(l, o)
	}
	slices.SortStableFunc(l, func(a, b rollout.Offer) int { return cmp.Compare(b.FreeSlots, a.FreeSlots) })
	return l
}

// freeSlots returns how many more streams of a class the server can take. It may be negative.
func (t *Table) freeSlots(s *server, c Class) int {
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

// TrainerLoad describes a trainer to which free slots may be offered.
type TrainerLoad struct {
	Trainer string
	// Share is the trainer's weight; Running is the number of its streams on this host.
	Share   float64
	Running int
	// Missing is the number of samples missing from the trainer's oldest step, as last reported
	// by its coordinator; 0 if there is no such step or no report.
	Missing int
	// StepOpened is when the trainer's oldest step with pending samples was opened; zero if
	// there is none.
	StepOpened time.Time
}

// Rule is the order in which free slots are offered to trainers.
type Rule string

// The supported rules.
const (
	// RuleFair prefers the trainer with the fewest streams relative to its share.
	RuleFair Rule = "fair"
	// RuleNearest prefers the trainer whose step is nearest to completion.
	RuleNearest Rule = "nearest"
	// RuleOldest prefers the trainer whose step was opened first, so that one step's
	// stragglers run while the next step's samples fill the servers.
	RuleOldest Rule = "oldest"
)

// maxShareRatio is the multiple of its share of the streams above which a trainer comes
// after all others.
const maxShareRatio = 2.5

// SortTrainers sorts trainers into the order in which they are offered free slots. Whatever the
// rule, a trainer that runs more than maxShareRatio times its share of the streams comes
// last.
func SortTrainers(l []TrainerLoad, r Rule) {
	running, totalShare := 0, 0.0
	for i := range l {
		running += l[i].Running
		totalShare += l[i].Share
	}
	overShare := func(t *TrainerLoad) int {
		if float64(t.Running)*totalShare > maxShareRatio*t.Share*float64(running) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(l, func(a, b TrainerLoad) int {
		byLoad := cmp.Compare(float64(a.Running)/a.Share, float64(b.Running)/b.Share)
		byRule := 0
		switch r {
		case RuleNearest:
			byRule = cmp.Compare(a.Missing, b.Missing)
		case RuleOldest:
			byRule = a.StepOpened.Compare(b.StepOpened)
		}
		return cmp.Or(cmp.Compare(overShare(&a), overShare(&b)), byRule, byLoad, cmp.Compare(a.Trainer, b.Trainer))
	})
}

// PickInteractive returns the server of a deployment with the most free slots for interactive
// work. Errors are *outcome.Error: queue-full when the servers that take new work are all full,
// no-server when there are none.
func (t *Table) PickInteractive(deployment string) (string, error) {
	best, freeSlots, found := "", 0, false
	for _, n := range t.sortedNames {
		s := t.m[n]
		if s.Deployment != deployment || s.leaving || s.down {
			continue
		}
		found = true
		if r := t.freeSlots(s, Interactive); r > freeSlots {
			best, freeSlots = n, r
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

// Start admits a stream to a server. Errors are *outcome.Error with the outcome not-run.
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
	if t.freeSlots(s, c) <= 0 {
		return outcome.Refuse(outcome.ReasonQueueFull, name)
	}
	s.running[stream] = c
	bug.Assert(len(s.running) <= s.Capacity, bug.Capacity, "%s: %d streams running, capacity %d", name, len(s.running), s.Capacity)
	return nil
}

// Adopt counts a stream that runs on the server already, such as one of a lost host. It is
// not new work, so neither a leaving nor a full server refuses it.
func (t *Table) Adopt(name, stream string) {
	if s, ok := t.m[name]; ok {
		s.running[stream] = Rollout
	}
}

// End records that a stream has ended.
func (t *Table) End(name, stream string) {
	if s, ok := t.m[name]; ok {
		delete(s.running, stream)
	}
}

// View is a snapshot of an owned server.
type View struct {
	release.Server
	Running  int
	Foreign  int
	Leaving  bool
	Down     bool
	Versions map[string]rollout.Version
}

// View returns a snapshot of an owned server.
func (t *Table) View(name string) (View, bool) {
	s, ok := t.m[name]
	if !ok {
		return View{}, false
	}
	return View{s.Server, len(s.running), s.foreign, s.leaving, s.down, s.versions}, true
}
