package daemon

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/member"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/ring"
)

const (
	// memberTickInterval is the time between two checks of the membership timers.
	memberTickInterval = 50 * time.Millisecond
	// discoveryInterval is the time between two reads of the platform's host list.
	discoveryInterval = 2 * time.Second
	// heartbeatTimeout is how long a heartbeat on an existing connection may take.
	heartbeatTimeout = 2 * time.Second
)

// members runs the membership protocol of package member.
type members struct {
	d     *Daemon
	log   *zap.Logger
	mu    sync.Mutex
	table *member.Table
	// lastLoss is when a member last left or failed.
	lastLoss time.Time
}

func newMembers(d *Daemon) *members {
	table := member.New(member.Config{
		Self:      d.self,
		Interval:  d.s.Timing.Heartbeat.D(),
		Suspicion: d.s.Timing.Suspicion.D(),
		Seed:      uint64(time.Now().UnixNano()),
	})
	return &members{d: d, log: d.logger("members"), table: table}
}

// run drives the membership timers and the discovery of hosts.
func (m *members) run(ctx context.Context) {
	var lastDiscovery time.Time
	every(ctx, memberTickInterval, func(now time.Time) {
		m.update(func(t *member.Table) member.Output { return t.Tick(now) })
		if now.Sub(lastDiscovery) >= discoveryInterval {
			lastDiscovery = now
			go m.discover(ctx)
		}
	})
}

// update applies f to the membership table, sends the resulting heartbeats and
// applies the resulting state changes.
func (m *members) update(f func(*member.Table) member.Output) member.Output {
	m.mu.Lock()
	o := f(m.table)
	n := len(m.table.Candidates())
	m.mu.Unlock()
	for _, s := range o.Sends {
		if !s.Answer {
			go m.sendHeartbeat(s)
		}
	}
	if len(o.Changes) > 0 {
		m.d.metrics.members.Set(float64(n))
		m.applyChanges(o.Changes)
	}
	return o
}

// applyChanges notifies the other roles of changes in the members' states.
func (m *members) applyChanges(l []member.Change) {
	for _, c := range l {
		m.log.Info("member state changed to "+c.State.String(), zap.String("member", c.ID))
		if c.State >= member.Leaving {
			m.mu.Lock()
			m.lastLoss = time.Now()
			m.mu.Unlock()
		}
		if c.State >= member.Dead {
			m.d.peers.Disconnect(c.Address)
		}
	}
	m.d.owners.refresh()
}

// discover adds the addresses in the platform's host list and in the settings to
// the membership table.
func (m *members) discover(ctx context.Context) {
	l := m.d.s.Platform.Peers
	if m.d.hosts != nil {
		h, err := m.d.hosts.Read(ctx)
		if err != nil {
			_ = m.d.metrics.refuse("host-list", err)
		}
		for _, e := range h {
			if e.Leaving {
				m.d.owners.markLeaving(e.Address)
			}
			l = append(l[:len(l):len(l)], e.Address)
		}
	}
	for _, a := range l {
		m.update(func(t *member.Table) member.Output { return t.Discover(a) })
	}
}

// sendHeartbeat sends one heartbeat and processes the answer.
func (m *members) sendHeartbeat(s member.Send) {
	call, timeout := m.d.peers.Call, heartbeatTimeout
	if s.NewConnection {
		call, timeout = m.d.peers.Probe, time.Second
	}
	ctx, cancel := context.WithTimeout(m.d.ctx, timeout)
	defer cancel()
	var a member.Heartbeat
	err := call(ctx, s.To.Address, entryhost.Heartbeat, &s.Heartbeat, &a)
	if err == nil {
		m.receiveHeartbeat(&a)
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) && s.To.ID != "" {
		m.update(func(t *member.Table) member.Output { return t.ConnectionRefused(time.Now(), s.To.ID) })
		return
	}
	if s.NewConnection {
		return
	}
	if outcome.HasReason(err, outcome.ReasonDeadline) || outcome.HasReason(err, outcome.ReasonSilent) {
		m.d.peers.Disconnect(s.To.Address)
	}
	m.d.metrics.retry("heartbeat", err)
}

// receiveHeartbeat processes a heartbeat and returns the answer to it.
func (m *members) receiveHeartbeat(h *member.Heartbeat) *member.Heartbeat {
	o := m.update(func(t *member.Table) member.Output { return t.Receive(time.Now(), h) })
	m.d.notes.observeOffset(h.From, h.Offset)
	for i := range o.Sends {
		if o.Sends[i].Answer {
			return &o.Sends[i].Heartbeat
		}
	}
	return &member.Heartbeat{From: m.d.id, Answer: true}
}

// setOffset sets the release offset that heartbeats carry.
func (m *members) setOffset(o int64) {
	m.mu.Lock()
	m.table.SetOffset(o)
	m.mu.Unlock()
}

// leave announces to the other members that this host is leaving or has left.
func (m *members) leave(s member.State) {
	m.update(func(t *member.Table) member.Output { return t.Leave(time.Now(), s) })
	m.d.owners.refresh()
}

// self returns this host's entry in the membership table.
func (m *members) self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self()
}

// get returns the member with the given ID.
func (m *members) get(id string) (member.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Get(id)
}

// alive reports whether the host with the given ID still drives its streams.
func (m *members) alive(id string) bool {
	x, ok := m.get(id)
	return ok && x.State <= member.Suspect
}

// sinceLoss returns the time since a member last left or failed.
func (m *members) sinceLoss() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastLoss)
}

// all returns all known members, including dead ones.
func (m *members) all() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Members()
}

// live returns the members that are not dead, including this host.
func (m *members) live() []member.Member {
	var l []member.Member
	for _, x := range m.all() {
		if x.State < member.Dead {
			l = append(l, x)
		}
	}
	return l
}

// candidates returns the members that may hold roles.
func (m *members) candidates() []ring.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Candidates()
}

// holder returns the ID of the host that holds the role with the given rendezvous
// key. It fails with the reason draining if no member takes new work.
func (m *members) holder(key, region string) (string, error) {
	id, ok := ring.Holder(key, region, m.candidates())
	if !ok {
		return "", outcome.Refuse(outcome.ReasonDraining, "no entry host takes new work")
	}
	return id, nil
}
