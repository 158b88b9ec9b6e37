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
	// memberTick is the time between two looks at the members' timers.
	memberTick = 50 * time.Millisecond
	// hintInterval is the time between two reads of the platform's list.
	hintInterval = 2 * time.Second
	// heartbeatLimit is how long a heartbeat on a kept connection may take.
	heartbeatLimit = 2 * time.Second
)

// members is the shell of package member.
type members struct {
	d   *Daemon
	log *zap.Logger
	mu  sync.Mutex
	t   *member.Table
	// lost is when a member was lost last.
	lost time.Time
}

func newMembers(d *Daemon) *members {
	t := member.New(member.Config{
		Self:      d.self,
		Interval:  d.s.Timing.Heartbeat.D(),
		Suspicion: d.s.Timing.Suspicion.D(),
		Seed:      uint64(time.Now().UnixNano()),
	})
	return &members{d: d, log: d.logger("members"), t: t}
}

func (m *members) run(ctx context.Context) {
	k := time.NewTicker(memberTick)
	defer k.Stop()
	var hinted time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-k.C:
			m.step(func(t *member.Table) member.Output { return t.Tick(n) })
			if n.Sub(hinted) >= hintInterval {
				hinted = n
				go m.hint(ctx)
			}
		}
	}
}

// step runs one step of the table and carries out what it asks for.
func (m *members) step(f func(*member.Table) member.Output) member.Output {
	m.mu.Lock()
	o := f(m.t)
	n := len(m.t.Candidates())
	m.mu.Unlock()
	for _, s := range o.Sends {
		if !s.Answer {
			go m.send(s)
		}
	}
	if len(o.Changes) > 0 {
		m.d.metrics.members.Set(float64(n))
		m.changed(o.Changes)
	}
	return o
}

// changed tells the other roles about the members' states.
func (m *members) changed(l []member.Change) {
	for _, c := range l {
		m.log.Info("member "+c.State.String(), zap.String("member", c.ID))
		if c.State >= member.Leaving {
			m.mu.Lock()
			m.lost = time.Now()
			m.mu.Unlock()
		}
		if c.State >= member.Dead {
			m.d.peers.Forget(c.Address)
		}
	}
	m.d.owners.refresh()
}

// hint reads the platform's list and the settings for hosts that are not known.
func (m *members) hint(ctx context.Context) {
	l := m.d.s.Platform.Peers
	if m.d.hosts != nil {
		h, err := m.d.hosts.Read(ctx)
		if err != nil {
			_ = m.d.metrics.refuse("host-list", err)
		}
		for _, e := range h {
			if e.Leaving {
				m.d.owners.leavingAt(e.Address)
			}
			l = append(l[:len(l):len(l)], e.Address)
		}
	}
	for _, a := range l {
		m.step(func(t *member.Table) member.Output { return t.Hint(a) })
	}
}

// send sends one heartbeat and takes its answer.
func (m *members) send(s member.Send) {
	call, limit := m.d.peers.Call, heartbeatLimit
	if s.Fresh {
		call, limit = m.d.peers.Probe, time.Second
	}
	ctx, cancel := context.WithTimeout(m.d.ctx, limit)
	defer cancel()
	var a member.Heartbeat
	err := call(ctx, s.To.Address, entryhost.Heartbeat, &s.Heartbeat, &a)
	if err == nil {
		m.receive(&a)
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) && s.To.ID != "" {
		m.step(func(t *member.Table) member.Output { return t.Refused(time.Now(), s.To.ID) })
		return
	}
	if s.Fresh {
		return
	}
	if outcome.Is(err, outcome.ReasonDeadline) || outcome.Is(err, outcome.ReasonSilent) {
		m.d.peers.Forget(s.To.Address)
	}
	m.d.metrics.retry("heartbeat", err)
}

// receive takes a heartbeat and returns the answer to it.
func (m *members) receive(h *member.Heartbeat) *member.Heartbeat {
	o := m.step(func(t *member.Table) member.Output { return t.Receive(time.Now(), h) })
	m.d.notes.heard(h.From, h.Offset)
	for i := range o.Sends {
		if o.Sends[i].Answer {
			return &o.Sends[i].Heartbeat
		}
	}
	return &member.Heartbeat{From: m.d.id, Answer: true}
}

// setOffset states the offset that heartbeats carry.
func (m *members) setOffset(o int64) {
	m.mu.Lock()
	m.t.SetOffset(o)
	m.mu.Unlock()
}

// leave tells the others that this host is leaving or has left.
func (m *members) leave(s member.State) {
	m.step(func(t *member.Table) member.Output { return t.Leave(time.Now(), s) })
	m.d.owners.refresh()
}

func (m *members) self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.Self()
}

func (m *members) get(id string) (member.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.Get(id)
}

// alive reports whether the host with the given id drives its streams still.
func (m *members) alive(id string) bool {
	x, ok := m.get(id)
	return ok && x.State <= member.Suspect
}

// sinceLoss returns how long ago a member was lost.
func (m *members) sinceLoss() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lost)
}

// all returns all members that are known, dead ones among them.
func (m *members) all() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.Members()
}

// live returns the members that answer, this host among them.
func (m *members) live() []member.Member {
	var l []member.Member
	for _, x := range m.all() {
		if x.State < member.Dead {
			l = append(l, x)
		}
	}
	return l
}

func (m *members) candidates() []ring.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.Candidates()
}

// holder returns the id of the host that holds a role.
func (m *members) holder(key, region string) (string, error) {
	id, ok := ring.Holder(key, region, m.candidates())
	if !ok {
		return "", outcome.Refuse(outcome.ReasonDraining, "no entry host takes new work")
	}
	return id, nil
}
