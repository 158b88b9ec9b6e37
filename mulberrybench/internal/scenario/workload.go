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

// step is a step that a trainer pulls in the background, checking every sample.
type step struct {
	mu sync.Mutex
	// received counts the samples so far; versions holds the weight versions that
	// produced their tokens.
	received int
	versions map[rollout.Version]bool
	done     chan struct{}
	err      error
	cancel   func()
}

// step opens a step and pulls it in the background:
//
//	step NAME [trainer=thaw] [groups=12] [samples=8] [publish=2] [max=8] [slow=0s]
//	     [bound=2]
//
// publish is the number of weight versions published during the step, max the greatest
// number of samples of a pull, slow a pause after each pull, and bound the greatest
// staleness of a sample in versions.
func (s *state) step(t *testscript.TestScript, args []string) {
	m, l := parseOptions(args)
	ctx, cancel := context.WithTimeout(context.Background(), 2*defaultTimeout)
	p := &step{versions: make(map[rollout.Version]bool), done: make(chan struct{}), cancel: cancel}
	s.steps[l[0]] = p
	j := stepConfig{
		name: value(m, "trainer", "thaw"), groups: number(t, m, "groups", 12), samples: number(t, m, "samples", 8),
		publications: number(t, m, "publish", 2), maxBatch: number(t, m, "max", 8), pause: duration(t, m, "slow", 0),
		addresses: []netip.AddrPort{s.k.Balancer.Address()}, stalenessBound: int64(number(t, m, "bound", 2)), number: int64(len(s.steps)),
	}
	go func() {
		defer close(p.done)
		p.err = p.run(ctx, &j)
	}()
}

// stepConfig configures a step and what its trainer does.
type stepConfig struct {
	name            string
	number          int64
	groups, samples int
	// publications is the number of versions that are published during the step, evenly
	// spread over its samples.
	publications   int
	maxBatch       int
	pause          time.Duration
	addresses      []netip.AddrPort
	stalenessBound int64
}

// run opens the step, pulls and checks its samples until it is complete, and publishes
// the versions in between.
func (p *step) run(ctx context.Context, j *stepConfig) error {
	c := trainer.New(trainer.Config{Trainer: j.name, Hosts: j.addresses})
	var g []rollout.Group
	for i := range j.groups {
		g = append(g, rollout.Group{First: rollout.Slot(i * j.samples), Samples: j.samples, MaxTokens: 4000, Prompt: fmt.Sprintf("scene %d", i)})
	}
	s, err := c.Open(ctx, j.number, g)
	if err != nil {
		return err
	}
	s.Version, s.Max = 1, j.maxBatch
	total := j.groups * j.samples
	for !s.Complete() {
		l, err := s.Pull(ctx)
		if err != nil {
			return err
		}
		if err := p.check(s, l, j); err != nil {
			return err
		}
		if v := rollout.Version(1 + s.Received()*(j.publications+1)/(total+1)); v > s.Version {
			s.Version = v
			if err := c.Publish(ctx, v); err != nil {
				return err
			}
		}
		time.Sleep(j.pause)
	}
	return s.Finish(ctx)
}

// check returns an error if a sample breaks a guarantee of the service: all tokens are
// there, the staleness is within the bound, the text belongs to the sample's prompt, and
// the sample is scored.
func (p *step) check(s *trainer.Step, l []*rollout.Sample, j *stepConfig) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range l {
		if !m.Complete() {
			return fmt.Errorf("sample %s is incomplete: segments %v of %d tokens", m.ID(), m.Segments, m.Tokens)
		}
		if d := int64(s.Version - m.Oldest()); d > j.stalenessBound {
			return fmt.Errorf("sample %s: staleness of %d versions is over the bound", m.ID(), d)
		}
		if w := standin.Text(fmt.Sprintf("scene %d", int(m.Slot)/j.samples), 0, m.Tokens); w != m.Text {
			return fmt.Errorf("sample %s: text does not match its prompt", m.ID())
		}
		if m.Score == nil {
			return fmt.Errorf("sample %s: not scored", m.ID())
		}
		for _, g := range m.Segments {
			p.versions[g.Version] = true
		}
		p.received++
	}
	return nil
}

// call is a request that is sent in the background, and its response.
type call struct {
	done     chan struct{}
	status   int
	body     string
	err      error
	latency  time.Duration
	wantBody string
}

// call sends a request to the service "registry":
//
//	call NAME METHOD PATH BODY [key=K] [host=N] [deadline=8s] [issued=-2h] [wait]
//
// key sends an idempotency key, and issued shifts the time in a new key. host=N selects
// the Nth running host, counted from 0. Without "wait" the script goes on at once.
func (s *state) call(t *testscript.TestScript, args []string) {
	m, l := parseOptions(args)
	c := &call{done: make(chan struct{})}
	s.calls[l[0]] = c
	up := s.k.Up()
	a := up[number(t, m, "host", 0)%len(up)].Settings.Listen.Callers
	c.wantBody = string(standin.Answer(l[1], l[2], []byte(l[3]), 4096))
	q, err := http.NewRequest(l[1], "http://"+a.String()+"/v1/services/registry"+l[2], strings.NewReader(l[3]))
	t.Check(err)
	if k, ok := m["key"]; ok {
		q.Header.Set("Idempotency-Key", s.keyUUID(k, duration(t, m, "issued", 0)))
	}
	q.Header.Set("X-Deadline", value(m, "deadline", "8s"))
	go c.send(q)
	if len(l) > 4 && l[4] == "wait" {
		<-c.done
	}
}

// keyUUID returns the UUID for the script's name of an idempotency key. The first use of
// a name creates a UUID of version 7 whose time is now plus offset.
func (s *state) keyUUID(n string, offset time.Duration) string {
	if k, ok := s.keys[n]; ok {
		return k
	}
	u := uuid.Must(uuid.NewV7())
	ms := time.Now().Add(offset).UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	s.keys[n] = u.String()
	return u.String()
}

func (c *call) send(q *http.Request) {
	defer close(c.done)
	start := time.Now()
	r, err := (&http.Client{Timeout: defaultTimeout}).Do(q)
	c.latency = time.Since(start)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	c.status, c.body, c.err = r.StatusCode, string(b), err
}

// answer waits for the response to a call or chat and compares its outcome: answer NAME
// ok|not-run|unknown [reason=R]. For a call, "ok" compares the body as well.
func (s *state) answer(t *testscript.TestScript, args []string) {
	m, l := parseOptions(args)
	c := s.calls[l[0]]
	if c == nil {
		t.Fatalf("no call %s", l[0])
	}
	select {
	case <-c.done:
	case <-time.After(defaultTimeout):
		t.Fatalf("call %s: no response within the time limit", l[0])
	}
	t.Check(c.err)
	switch l[1] {
	case "ok":
		if c.status != http.StatusOK || c.wantBody != "" && c.body != c.wantBody {
			t.Fatalf("call %s: unexpected response: status %d, body %.200s", l[0], c.status, c.body)
		}
	default:
		if !strings.Contains(c.body, `"outcome":"`+l[1]+`"`) {
			t.Fatalf("call %s: unexpected outcome: status %d, body %.300s", l[0], c.status, c.body)
		}
		if r := m["reason"]; r != "" && !strings.Contains(c.body, `"reason":"`+r+`"`) {
			t.Fatalf("call %s: unexpected reason: body %.300s", l[0], c.body)
		}
	}
}

// chat sends a chat completion to the deployment "ledger" in the background: chat NAME
// TEXT [tokens=100] [host=N]. The command answer checks its response.
func (s *state) chat(t *testscript.TestScript, args []string) {
	m, l := parseOptions(args)
	c := &call{done: make(chan struct{})}
	s.calls[l[0]] = c
	up := s.k.Up()
	a := up[number(t, m, "host", 0)%len(up)].Settings.Listen.Callers
	b := fmt.Sprintf(`{"model":"ledger","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, l[1], number(t, m, "tokens", 100))
	q, err := http.NewRequest(http.MethodPost, "http://"+a.String()+"/v1/chat/completions", strings.NewReader(b))
	t.Check(err)
	go c.send(q)
}

// note publishes a file as a release note and compares the resulting state or error:
// note FILE in-force|rejected|not-run|unknown [host=N]. In the file, $ENGINE_N stands
// for the address of engine N.
func (s *state) note(t *testscript.TestScript, args []string) {
	m, l := parseOptions(args)
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
	ctx, cancel := context.WithTimeout(context.Background(), defaultTimeout)
	defer cancel()
	p, err := c.Publish(ctx, []byte(x), false)
	got := p.State
	if err != nil {
		got = err.Error()
	}
	if !strings.HasPrefix(got, l[1]) {
		t.Fatalf("release note: state %s, want %s", got, l[1])
	}
}

// hostByRole returns a host that has a role according to the hosts' own status. The
// roles are those of the command crash.
func (s *state) hostByRole(t *testscript.TestScript, role, name string) *cluster.Host {
	ctx, cancel := context.WithTimeout(context.Background(), defaultTimeout)
	defer cancel()
	a, err := s.k.OperatorClient().Status(ctx)
	t.Check(err)
	for i := range a.Hosts {
		h := &a.Hosts[i]
		coordinates := false
		for _, p := range h.Steps {
			coordinates = coordinates || p.Key.Trainer == name
		}
		if role == "coordinator" && coordinates || role == "only-owner" && !coordinates && len(h.Servers) > 0 {
			return s.hostByProcess(t, h.Self.ID)
		}
		for _, v := range h.Servers {
			if role == "owner" && v.Name == name {
				return s.hostByProcess(t, h.Self.ID)
			}
		}
	}
	t.Fatalf("no host is %s of %s", role, name)
	return nil
}

// hostByProcess returns the running host whose process has the id. The id of a process
// begins with the name of its host.
func (s *state) hostByProcess(t *testscript.TestScript, id string) *cluster.Host {
	for _, h := range s.k.Up() {
		if strings.HasPrefix(id, h.Settings.Name+"-") {
			return h
		}
	}
	t.Fatalf("no running host has the process id %s", id)
	return nil
}
