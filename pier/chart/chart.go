// Package chart interprets state machines that are defined in TOML files.
//
// A chart defines the states of a machine by the transitions between them. The code
// that owns a state fires events; an event that has no transition from the current
// state is reported as a bug and leaves the state unchanged. Charts are checked when
// they are loaded, and can be printed as a diagram.
package chart

import (
	"bytes"
	"context"
	"embed"
	"path"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/qmuntal/stateless"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
)

//go:embed charts/*.toml
var chartFiles embed.FS

type (
	// State is the name of a state.
	State string
	// Event is the name of an event.
	Event string
)

// Transition leads from state From to state To on event On.
type Transition struct {
	From State `toml:"from"`
	On   Event `toml:"on"`
	To   State `toml:"to"`
}

// File is the schema of a chart file.
type File struct {
	Name        string       `toml:"name"`
	Text        string       `toml:"text"`
	Initial     State        `toml:"initial"`
	Final       []State      `toml:"final"`
	Transitions []Transition `toml:"transitions"`
}

// Chart is a state machine definition that has been checked. It is safe for
// concurrent use.
type Chart struct {
	f File
	// m is the machine that build configures.
	m *stateless.StateMachine
}

// stateKey is the context key of the *State on which an event is fired.
type stateKey struct{}

// Parse decodes a chart from TOML and checks it. Errors are *outcome.Error whose
// detail names the part that is invalid.
func Parse(b []byte) (*Chart, error) {
	var f File
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&f); err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "chart: "+err.Error())
	}
	c := &Chart{f: f}
	if err := c.check(); err != nil {
		return nil, err
	}
	c.build()
	return c, nil
}

// Load returns an embedded chart. It panics if the chart does not exist or is
// invalid; TestWalk loads all embedded charts.
func Load(name string) *Chart {
	b, err := chartFiles.ReadFile("charts/" + name + ".toml")
	if err != nil {
		panic(err)
	}
	c, err := Parse(b)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts.
func Names() []string {
	l, err := chartFiles.ReadDir("charts")
	bug.Assert(err == nil, bug.ChartTransition, "charts: cannot list the embedded files: %v", err)
	var n []string
	for _, e := range l {
		n = append(n, strings.TrimSuffix(path.Base(e.Name()), ".toml"))
	}
	return n
}

// check rejects unreachable states, two transitions for the same state and event,
// and states without an outgoing transition that are not final.
func (c *Chart) check() error {
	invalid := func(s string) error {
		return outcome.Refuse(outcome.ReasonBadRequest, "chart "+c.f.Name+": "+s)
	}
	if c.f.Name == "" || c.f.Initial == "" {
		return invalid("name or initial state is missing")
	}
	seen := make(map[Transition]bool)
	for _, t := range c.f.Transitions {
		k := Transition{From: t.From, On: t.On}
		if seen[k] {
			return invalid("two transitions from " + string(t.From) + " on " + string(t.On))
		}
		seen[k] = true
	}
	r := c.reachable()
	for _, s := range c.States() {
		if !slices.Contains(r, s) {
			return invalid("state " + string(s) + " cannot be reached from the initial state")
		}
		out := slices.ContainsFunc(c.f.Transitions, func(t Transition) bool { return t.From == s })
		if !out && !slices.Contains(c.f.Final, s) {
			return invalid("state " + string(s) + " is not final and has no outgoing transition")
		}
	}
	return nil
}

// reachable returns the states that can be reached from the initial one, itself included.
func (c *Chart) reachable() []State {
	r := []State{c.f.Initial}
	for i := 0; i < len(r); i++ {
		for _, t := range c.f.Transitions {
			if t.From == r[i] && !slices.Contains(r, t.To) {
				r = append(r, t.To)
			}
		}
	}
	return r
}

// build creates the library's state machine, which executes the transitions. All
// uses of the chart share it: it reads and writes the state through the pointer in
// the context of each call.
func (c *Chart) build() {
	get := func(ctx context.Context) (stateless.State, error) { return *ctx.Value(stateKey{}).(*State), nil }
	set := func(ctx context.Context, s stateless.State) error {
		*ctx.Value(stateKey{}).(*State) = s.(State)
		return nil
	}
	c.m = stateless.NewStateMachineWithExternalStorage(get, set, stateless.FiringImmediate)
	for _, t := range c.f.Transitions {
		if t.From == t.To {
			c.m.Configure(t.From).PermitReentry(t.On)
			continue
		}
		c.m.Configure(t.From).Permit(t.On, t.To)
	}
}

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.f.Initial }

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.f.Name }

// States returns all states, starting with the initial one.
func (c *Chart) States() []State {
	l := []State{c.f.Initial}
	for _, t := range c.f.Transitions {
		for _, s := range []State{t.From, t.To} {
			if !slices.Contains(l, s) {
				l = append(l, s)
			}
		}
	}
	return l
}

// Events returns the events that have a transition from s.
func (c *Chart) Events(s State) []Event {
	var l []Event
	for _, t := range c.f.Transitions {
		if t.From == s {
			l = append(l, t.On)
		}
	}
	return l
}

// Final reports whether s is a final state.
func (c *Chart) Final(s State) bool { return slices.Contains(c.f.Final, s) }

// CanFire reports whether event e has a transition from s.
func (c *Chart) CanFire(s State, e Event) bool { return slices.Contains(c.Events(s), e) }

// Fire applies event e to *s and returns true. If e has no transition from *s, it
// reports a bug, leaves *s unchanged and returns false.
func (c *Chart) Fire(s *State, e Event) bool {
	err := c.m.FireCtx(context.WithValue(context.Background(), stateKey{}, s), e)
	return bug.Assert(err == nil, bug.ChartTransition, "chart %s: event %s has no transition from state %s", c.f.Name, e, *s)
}

// Dot returns the chart as a diagram in the DOT language of Graphviz.
func (c *Chart) Dot() string {
	var b strings.Builder
	b.WriteString("digraph \"" + c.f.Name + "\" {\n\trankdir=LR;\n\tnode [shape=box, style=rounded];\n")
	for _, s := range c.States() {
		if c.Final(s) {
			b.WriteString("\t\"" + string(s) + "\" [peripheries=2];\n")
		}
	}
	for _, t := range c.f.Transitions {
		b.WriteString("\t\"" + string(t.From) + "\" -> \"" + string(t.To) + "\" [label=\"" + string(t.On) + "\"];\n")
	}
	b.WriteString("}\n")
	return b.String()
}

// Text returns the name and description of the chart, followed by its transitions.
func (c *Chart) Text() string {
	var b strings.Builder
	b.WriteString(c.f.Name + ": " + c.f.Text + "\n")
	for _, t := range c.f.Transitions {
		b.WriteString("  " + string(t.From) + " --" + string(t.On) + "--> " + string(t.To) + "\n")
	}
	return b.String()
}
