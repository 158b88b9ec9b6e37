package gateway

import (
	"time"

	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/serverchoice"
	"mulberrypier.example/pier/stepplan"
)

// What prompts are placed for.
const (
	promptOfSample = "sample"
	promptOfStream = "stream"
)

// promptsOf returns what this host knows of the prompts of a service. The caller holds mu.
func (f *fleet) promptsOf(service string) *promptload.Book {
	b := f.prompts[service]
	if b == nil {
		b = promptload.New()
		f.prompts[service] = b
	}
	return b
}

// limitToPrompt leaves no slots to engines of a service that may not take a prompt now. The caller holds mu.
func (f *fleet) limitToPrompt(service string, c []stepplan.Engine, n stepplan.Need, p *promptload.Prompt, now time.Time) {
	p.Held = false
	b := f.promptsOf(service)
	if !b.Concerns(p) {
		return
	}
	p.Pace = f.fastest(f.byService[service])
	l := make([]promptload.Engine, len(c))
	for i := range c {
		e := &c[i]
		l[i] = promptload.Engine{
			ID: e.ID, Free: e.Running < e.Slots && n.MetBy(e), Streams: e.Running, TokenTime: e.RelativeTokenTime,
		}
	}
	again := !p.HeldSince.IsZero()
	r := b.Allow(p, l, now)
	if !again || r != promptload.Held {
		f.g.metrics.promptPlacements.WithLabelValues(promptOfSample, string(r)).Inc()
	}
	for i := range l {
		if !l[i].Allowed {
			c[i].Slots = 0
		}
	}
}

// avoidForPrompt has servers avoided that should not take the prompt of a caller's stream now. at holds the
// servers' indexes in the service's list. The caller holds mu.
func (f *fleet) avoidForPrompt(service string, c []serverchoice.Server, at []int, p *promptload.Prompt, now time.Time) {
	b := f.promptsOf(service)
	if !b.Concerns(p) {
		return
	}
	servers := f.byService[service]
	p.Pace = f.fastest(servers)
	l := make([]promptload.Engine, len(c))
	for i := range c {
		s := &servers[at[i]]
		l[i] = promptload.Engine{
			ID: s.ID, Free: !c[i].Avoided && c[i].LimitWait <= 0 && (s.Slots == 0 || c[i].Running < s.Slots),
			Streams: c[i].Running, TokenTime: f.states[s.ID].relativeTokenTime(p.Pace),
		}
	}
	r := b.Allow(p, l, now)
	f.g.metrics.promptPlacements.WithLabelValues(promptOfStream, string(r)).Inc()
	if r == promptload.Full {
		return
	}
	for i := range l {
		c[i].Avoided = c[i].Avoided || !l[i].Allowed
	}
}

// sendPrompt records that a prompt is sent to a server. The caller holds mu.
func (f *fleet) sendPrompt(s *directory.Server, p *promptload.Prompt, now time.Time) *promptload.Unread {
	if p == nil || p.Tokens == 0 {
		return nil
	}
	b := f.promptsOf(s.Service)
	f.g.metrics.promptTokens.Observe(float64(p.Tokens))
	f.g.metrics.promptUnread.Observe(float64(b.UnreadTokens(s.ID)))
	if !p.HeldSince.IsZero() {
		f.g.metrics.promptHeld.Observe(now.Sub(p.HeldSince).Seconds())
	}
	return b.Sent(s.ID, p, now)
}

// promptRead records that the first event of an answer has come: the server has read the prompt.
func (u *reservation) promptRead() {
	if u.unread == nil {
		return
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if u.unread.Read(time.Now()) {
		u.f.signalCapacity()
	}
}
