package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"mulberrypier.example/mulberrybench/internal/cluster"
	"mulberrypier.example/mulberrybench/internal/standin"
	"mulberrypier.example/pier/operator"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/trainer"
)

// step is a trainer that pulls a step in the background and checks every sample.
type step struct {
	mu sync.Mutex
	// have counts the samples so far; versions holds those of all their tokens.
	have     int
	versions map[rollout.Version]bool
	done     chan struct{}
	err      error
	cancel   func()
}

// step opens a step and pulls it in the background: step NAME [trainer=thaw]
// [groups=12] [samples=8] [publish=2] [max=8] [slow=0s].
func (s *state) step(t *testscript.TestScript, args []string) {
	m, l := options(args)
	ctx, cancel := context.WithTimeout(context.Background(), 2*limit)
	p := &step{versions: make(map[rollout.Version]bool), done: make(chan struct{}), cancel: cancel}
	s.steps[l[0]] = p
	j := job{
		name: value(m, "trainer", "thaw"), groups: number(t, m, "groups", 12), samples: number(t, m, "samples", 8),
		publish: number(t, m, "publish", 2), max: number(t, m, "max", 8), slow: period(t, m, "slow", 0),
		hosts: []netip.AddrPort{s.k.Balancer.Address()}, bound: int64(number(t, m, "bound", 2)), number: int64(len(s.steps)),
	}
	go func() {
		defer close(p.done)
		p.err = p.run(ctx, &j)
	}()
}

// job is what a trainer does.
type job struct {
	name            string
	number          int64
	groups, samples int
	// publish is the number of versions that are published during the step.
	publish int
	max     int
	slow    time.Duration
	hosts   []netip.AddrPort
	bound   int64
}

func (p *step) run(ctx context.Context, j *job) error {
	c := trainer.New(trainer.Config{Trainer: j.name, Hosts: j.hosts})
	var g []rollout.Group
	for i := range j.groups {
		g = append(g, rollout.Group{First: rollout.Slot(i * j.samples), Samples: j.samples, MaxTokens: 4000, Prompt: fmt.Sprintf("scene %d", i)})
	}
	s, err := c.Open(ctx, j.number, g)
	if err != nil {
		return err
	}
	s.Version, s.Max = 1, j.max
	total := j.groups * j.samples
	for !s.Whole() {
		l, err := s.Pull(ctx)
		if err != nil {
			return err
		}
		if err := p.check(s, l, j); err != nil {
			return err
		}
		if v := rollout.Version(1 + s.Have()*(j.publish+1)/(total+1)); v > s.Version {
			s.Version = v
			if err := c.Publish(ctx, v); err != nil {
				return err
			}
		}
		time.Sleep(j.slow)
	}
	return s.Finish(ctx)
}

// check compares every sample with what the service promises.
func (p *step) check(s *trainer.Step, l []*rollout.Sample, j *job) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range l {
		if !m.Whole() {
			return fmt.Errorf("sample %s: segments %v of %d tokens", m.ID(), m.Segments, m.Tokens)
		}
		if d := int64(s.Version - m.Oldest()); d > j.bound {
			return fmt.Errorf("sample %s: %d versions old", m.ID(), d)
		}
		if w := standin.Text(fmt.Sprintf("scene %d", int(m.Slot)/j.samples), 0, m.Tokens); w != m.Text {
			return fmt.Errorf("sample %s: text of another stream", m.ID())
		}
		if m.Score == nil {
			return fmt.Errorf("sample %s: not scored", m.ID())
		}
		for _, g := range m.Segments {
			p.versions[g.Version] = true
		}
		p.have++
	}
	return nil
}

// call is a request to a plain service in the background.
type call struct {
	done   chan struct{}
	status int
	body   string
	err    error
	took   time.Duration
	want   string
}

// call sends a request to the service registry: call NAME METHOD PATH BODY
// [key=K] [host=N] [deadline=8s] [issued=-2h] [wait]. Without "wait" the script
// goes on at once.
func (s *state) call(t *testscript.TestScript, args []string) {
	m, l := options(args)
	c := &call{done: make(chan struct{})}
	s.calls[l[0]] = c
	up := s.k.Up()
	a := up[number(t, m, "host", 0)%len(up)].Settings.Listen.Callers
	c.want = string(standin.Answer(l[1], l[2], []byte(l[3]), 4096))
	q, err := http.NewRequest(l[1], "http://"+a.String()+"/v1/services/registry"+l[2], strings.NewReader(l[3]))
	t.Check(err)
	if k, ok := m["key"]; ok {
		q.Header.Set("Idempotency-Key", s.key(k, period(t, m, "issued", 0)))
	}
	q.Header.Set("X-Deadline", value(m, "deadline", "8s"))
	go c.send(q)
	if len(l) > 4 && l[4] == "wait" {
		<-c.done
	}
}

// key returns the UUID that a script's short name of a key stands for.
func (s *state) key(n string, ago time.Duration) string {
	if k, ok := s.keys[n]; ok {
		return k
	}
	u := uuid.Must(uuid.NewV7())
	ms := time.Now().Add(ago).UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	s.keys[n] = u.String()
	return u.String()
}

func (c *call) send(q *http.Request) {
	defer close(c.done)
	began := time.Now()
	r, err := (&http.Client{Timeout: limit}).Do(q)
	c.took = time.Since(began)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	c.status, c.body, c.err = r.StatusCode, string(b), err
}

// answer waits for a call and compares its answer: answer NAME ok|not-run|unknown
// [reason=R].
func (s *state) answer(t *testscript.TestScript, args []string) {
	m, l := options(args)
	c := s.calls[l[0]]
	if c == nil {
		t.Fatalf("no call %s", l[0])
	}
	select {
	case <-c.done:
	case <-time.After(limit):
		t.Fatalf("call %s has no answer", l[0])
	}
	t.Check(c.err)
	switch l[1] {
	case "ok":
		if c.status != http.StatusOK || c.want != "" && c.body != c.want {
			t.Fatalf("call %s: %d %.200s", l[0], c.status, c.body)
		}
	default:
		if !strings.Contains(c.body, `"outcome":"`+l[1]+`"`) {
			t.Fatalf("call %s: %d %.300s", l[0], c.status, c.body)
		}
		if r := m["reason"]; r != "" && !strings.Contains(c.body, `"reason":"`+r+`"`) {
			t.Fatalf("call %s: %.300s", l[0], c.body)
		}
	}
}

// chat runs a completion on the deployment in the background: chat NAME TEXT
// [tokens=100] [host=N]. Its answer is compared by "answer NAME ok".
func (s *state) chat(t *testscript.TestScript, args []string) {
	m, l := options(args)
	c := &call{done: make(chan struct{})}
	s.calls[l[0]] = c
	up := s.k.Up()
	a := up[number(t, m, "host", 0)%len(up)].Settings.Listen.Callers
	b := fmt.Sprintf(`{"model":"ledger","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, l[1], number(t, m, "tokens", 100))
	q, err := http.NewRequest(http.MethodPost, "http://"+a.String()+"/v1/chat/completions", strings.NewReader(b))
	t.Check(err)
	go c.send(q)
}

// note publishes a file as a release note: note FILE in-force|rejected|
// not-run|unknown [host=N]. In the file, $ENGINE_N stands for an address.
func (s *state) note(t *testscript.TestScript, args []string) {
	m, l := options(args)
	b, err := os.ReadFile(t.MkAbs(l[0]))
	t.Check(err)
	x := string(b)
	for i, e := range s.k.Engines {
		x = strings.ReplaceAll(x, fmt.Sprintf("$ENGINE_%d", i), e.Address().String())
	}
	_, err = release.Parse([]byte(x))
	t.Check(err)
	up := s.k.Up()
	h := up[number(t, m, "host", 0)%len(up)]
	c := operator.New(operator.ClientConfig{Address: h.Settings.Listen.Operators})
	y, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	p, err := c.Publish(y, []byte(x), false)
	got := p.State
	if err != nil {
		got = err.Error()
	}
	if !strings.HasPrefix(got, l[1]) {
		t.Fatalf("note is %s, not %s", got, l[1])
	}
}

// byRole returns the host that holds a role, as the hosts themselves say.
func (s *state) byRole(t *testscript.TestScript, role, name string) *cluster.Host {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a, err := s.k.Operator().Status(ctx)
	t.Check(err)
	for i := range a.Hosts {
		h := &a.Hosts[i]
		coordinates := false
		for _, p := range h.Steps {
			coordinates = coordinates || p.Key.Trainer == name
		}
		if role == "coordinator" && coordinates || role == "only-owner" && !coordinates && len(h.Servers) > 0 {
			return s.byID(t, h.Self.ID)
		}
		for _, v := range h.Servers {
			if role == "owner" && v.Name == name {
				return s.byID(t, h.Self.ID)
			}
		}
	}
	t.Fatalf("no %s of %s", role, name)
	return nil
}

// byID returns the host whose process has an id, which begins with its name.
func (s *state) byID(t *testscript.TestScript, id string) *cluster.Host {
	for _, h := range s.k.Up() {
		if strings.HasPrefix(id, h.Settings.Name+"-") {
			return h
		}
	}
	t.Fatalf("no host of process %s", id)
	return nil
}
