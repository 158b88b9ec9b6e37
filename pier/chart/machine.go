package chart

import "sync"

// Machine is a state that follows a chart. It is safe for concurrent use.
type Machine struct {
	c  *Chart
	mu sync.Mutex
	// state is one of the chart's; guarded by mu.
	state State
}

// NewMachine returns a machine in the chart's initial state.
func NewMachine(c *Chart) *Machine { return &Machine{c: c, state: c.Initial()} }

// State returns the current state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Initial reports whether no event has led out of the initial state.
func (m *Machine) Initial() bool { return m.State() == m.c.Initial() }

// Fire takes an event and returns the state after it, as Chart.Fire does.
func (m *Machine) Fire(e Event) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.Fire(&m.state, e)
	return m.state
}
