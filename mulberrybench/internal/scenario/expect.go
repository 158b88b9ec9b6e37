package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"mulberrypier.example/mulberrybench/internal/cluster"
	"mulberrypier.example/pier/operator"
)

// expect waits until something holds, or fails: expect WHAT ... [within=20s].
func (s *state) expect(t *testscript.TestScript, args []string) {
	m, l := options(args)
	d := period(t, m, "within", limit)
	switch l[0] {
	case "whole":
		s.expectWhole(t, l[1], d, m)
	case "samples":
		s.expectSamples(t, l[1], l[2], d)
	case "members":
		until(t, d, func() (bool, string) { return s.members(l[1]) })
	case "revision":
		until(t, d, func() (bool, string) { return s.revision(l[1]) })
	case "executed":
		until(t, d, func() (bool, string) {
			n := s.k.Executed.Count(l[1])
			return strconv.Itoa(n) == l[2], fmt.Sprintf("%q was executed %d times", l[1], n)
		})
	case "version":
		until(t, d, func() (bool, string) { return s.version(l[1], l[2]) })
	case "never-doubled":
		if k, n := s.k.Executed.Max(); n > 1 {
			t.Fatalf("%q was executed %d times", k, n)
		}
	case "scored-once":
		if k, n := s.k.Scored.Max(); n > 1 {
			t.Fatalf("%q was scored %d times", k, n)
		}
	case "none-abandoned":
		until(t, d, s.noneAbandoned)
	case "streams":
		until(t, d, func() (bool, string) { return s.streams(l[1]) })
	case "idle":
		if n := s.k.Engines[index(t, l[1], "engine-", len(s.k.Engines))].Started(); n > 0 {
			t.Fatalf("%s began %d streams", l[1], n)
		}
	case "drained":
		until(t, d, func() (bool, string) {
			n := len(s.k.Up())
			return strconv.Itoa(n) == l[1], fmt.Sprintf("%d hosts run", n)
		})
	case "counter":
		until(t, d, func() (bool, string) { return s.counter(args[1]) })
	case "no-bugs":
		s.noBugs(t)
	default:
		t.Fatalf("cannot expect %s", l[0])
	}
}

// expectWhole waits until a step is whole; streams=N bounds the streams that the
// engines have begun so far.
func (s *state) expectWhole(t *testscript.TestScript, name string, d time.Duration, m map[string]string) {
	p := s.steps[name]
	if p == nil {
		t.Fatalf("no step %s", name)
	}
	select {
	case <-p.done:
	case <-time.After(d):
		p.mu.Lock()
		defer p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		a, err := s.k.Operator().Status(ctx)
		t.Fatalf("step %s has %d samples after %v: %+v %v", name, p.have, d, a, err)
	}
	t.Check(p.err)
	if n := number(t, m, "versions", 0); len(p.versions) < n {
		t.Fatalf("step %s has samples of %d versions", name, len(p.versions))
	}
	began := 0
	for _, e := range s.k.Engines {
		began += e.Started()
	}
	if n := number(t, m, "streams", 0); n > 0 && began > n {
		t.Fatalf("engines began %d streams", began)
	}
}

// expectSamples waits until a trainer has at least so many samples.
func (s *state) expectSamples(t *testscript.TestScript, name, count string, d time.Duration) {
	n, err := strconv.Atoi(count)
	t.Check(err)
	until(t, d, func() (bool, string) {
		p := s.steps[name]
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.have >= n, fmt.Sprintf("step %s has %d samples", name, p.have)
	})
}

// members compares the number of members that each host counts.
func (s *state) members(want string) (bool, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range s.k.Up() {
		if n := cluster.Live(ctx, h); strconv.Itoa(n) != want {
			return false, fmt.Sprintf("%s counts %d members", h.Settings.Name, n)
		}
	}
	return true, ""
}

// revision compares the revision in force at each host.
func (s *state) revision(want string) (bool, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range s.k.Up() {
		c := operator.New(operator.ClientConfig{Address: h.Settings.Listen.Operators})
		a, err := c.Self(ctx)
		if err != nil {
			return false, err.Error()
		}
		if r := a.Hosts[0].Revision; strconv.FormatInt(r, 10) != want {
			return false, fmt.Sprintf("%s is at revision %d", h.Settings.Name, r)
		}
	}
	return true, ""
}

// version compares the version of a trainer's weights on every engine that runs.
func (s *state) version(trainer, want string) (bool, string) {
	for i, e := range s.k.Engines {
		if v := strconv.FormatInt(e.Version(trainer), 10); v != want {
			return false, fmt.Sprintf("engine-%d has version %s", i, v)
		}
	}
	return true, ""
}

// streams compares the number of streams that the engines have begun so far.
func (s *state) streams(want string) (bool, string) {
	n := 0
	for _, e := range s.k.Engines {
		n += e.Started()
	}
	return strconv.Itoa(n) == want, fmt.Sprintf("engines began %d streams", n)
}

// noneAbandoned reports whether every stream that an engine has begun was read to
// its end and taken off: none was generated in part and then again.
func (s *state) noneAbandoned() (bool, string) {
	began, taken := 0, 0
	for _, e := range s.k.Engines {
		began += e.Started()
		taken += e.Collected()
	}
	return began == taken, fmt.Sprintf("engines began %d streams, %d were taken off", began, taken)
}

// counter reports whether some host has counted what a line of its metrics that
// begins with the text says.
func (s *state) counter(text string) (bool, string) {
	for _, h := range s.k.Up() {
		r, err := http.Get("http://" + h.Settings.Listen.Operators.String() + "/metrics")
		if err != nil {
			continue
		}
		b, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err == nil && strings.Contains(string(b), "\n"+text) {
			return true, ""
		}
	}
	return false, "no host counts " + text
}

// noBugs fails when a host has counted a broken invariant.
func (s *state) noBugs(t *testscript.TestScript) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range s.k.Up() {
		c := operator.New(operator.ClientConfig{Address: h.Settings.Listen.Operators})
		a, err := c.Self(ctx)
		t.Check(err)
		if n := a.Hosts[0].Bugs; n > 0 {
			t.Fatalf("%s counted %d bugs", h.Settings.Name, n)
		}
	}
}
