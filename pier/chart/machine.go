package chart

import "sync"

// Machine is the current state of one instance of a chart. It is safe for
// concurrent use.
type Machine struct {
	c  *Chart
	mu sync.Mutex
	// state is guarded by mu.
	state State
}

// NewMachine returns a Machine in the initial state of c.
func NewMachine(c *Chart) *Machine { return &Machine{c: c, state: c.Initial()} }

// State returns the current state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Initial reports whether the machine is in the initial state.
func (m *Machine) Initial() bool { return m.State() == m.c.Initial() }

// Fire applies event e, as Chart.Fire does, and returns the resulting state.
func (m *Machine) Fire(e Event) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.Fire(&m.state, e)
	return m.state
}
