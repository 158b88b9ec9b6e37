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

// expect waits until a condition holds, or checks it at once where it cannot become
// true by waiting: expect CONDITION ARGS... [within=20s].
func (s *state) expect(t *testscript.TestScript, args []string) {
	m, l := parseOptions(args)
	d := duration(t, m, "within", defaultTimeout)
	switch l[0] {
	case "whole":
		s.expectComplete(t, l[1], d, m)
	case "samples":
		s.expectSamples(t, l[1], l[2], d)
	case "members":
		waitFor(t, d, func() (bool, string) { return s.members(l[1]) })
	case "revision":
		waitFor(t, d, func() (bool, string) { return s.revision(l[1]) })
	case "executed":
		waitFor(t, d, func() (bool, string) {
			n := s.k.Executed.Count(l[1])
			return strconv.Itoa(n) == l[2], fmt.Sprintf("%q was executed %d times", l[1], n)
		})
	case "version":
		waitFor(t, d, func() (bool, string) { return s.version(l[1], l[2]) })
	case "never-doubled":
		if k, n := s.k.Executed.Max(); n > 1 {
			t.Fatalf("%q was executed %d times", k, n)
		}
	case "scored-once":
		if k, n := s.k.Scored.Max(); n > 1 {
			t.Fatalf("%q was scored %d times", k, n)
		}
	case "none-abandoned":
		waitFor(t, d, s.allCollected)
	case "streams":
		waitFor(t, d, func() (bool, string) { return s.streams(l[1]) })
	case "idle":
		if n := s.k.Engines[parseIndex(t, l[1], "engine-", len(s.k.Engines))].Started(); n > 0 {
			t.Fatalf("%s has started %d streams, want none", l[1], n)
		}
	case "drained":
		waitFor(t, d, func() (bool, string) {
			n := len(s.k.Up())
			return strconv.Itoa(n) == l[1], fmt.Sprintf("%d hosts run", n)
		})
	case "counter":
		// The text is not in l: its labels contain "=", so parseOptions takes it for an
		// option.
		waitFor(t, d, func() (bool, string) { return s.hasMetric(args[1]) })
	case "no-bugs":
		s.checkInvariants(t)
	default:
		t.Fatalf("expect: unknown condition %s", l[0])
	}
}

// expectComplete waits until a trainer has all samples of a step. The option versions=N
// requires tokens of at least N versions, and streams=N allows at most N streams started
// on all engines so far.
func (s *state) expectComplete(t *testscript.TestScript, name string, d time.Duration, m map[string]string) {
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
		a, err := s.k.OperatorClient().Status(ctx)
		t.Fatalf("step %s is incomplete: %d samples after %v: %+v %v", name, p.received, d, a, err)
	}
	t.Check(p.err)
	if n := number(t, m, "versions", 0); len(p.versions) < n {
		t.Fatalf("step %s has samples of %d versions only", name, len(p.versions))
	}
	started := 0
	for _, e := range s.k.Engines {
		started += e.Started()
	}
	if n := number(t, m, "streams", 0); n > 0 && started > n {
		t.Fatalf("engines have started %d streams, more than allowed", started)
	}
}

// expectSamples waits until a trainer has received at least count samples of a step.
func (s *state) expectSamples(t *testscript.TestScript, name, count string, d time.Duration) {
	n, err := strconv.Atoi(count)
	t.Check(err)
	waitFor(t, d, func() (bool, string) {
		p := s.steps[name]
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.received >= n, fmt.Sprintf("step %s has %d samples", name, p.received)
	})
}

// members reports whether every running host counts the wanted number of live members.
func (s *state) members(want string) (bool, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range s.k.Up() {
		if n := cluster.LiveMembers(ctx, h); strconv.Itoa(n) != want {
			return false, fmt.Sprintf("%s counts %d members", h.Settings.Name, n)
		}
	}
	return true, ""
}

// revision reports whether the wanted revision of the release notes is in force at
// every running host.
func (s *state) revision(want string) (bool, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range s.k.Up() {
		c := operator.New(operator.ClientConfig{Address: h.Settings.Listen.Operators})
		a, err := c.HostStatus(ctx)
		if err != nil {
			return false, err.Error()
		}
		if r := a.Hosts[0].Revision; strconv.FormatInt(r, 10) != want {
			return false, fmt.Sprintf("%s is at revision %d", h.Settings.Name, r)
		}
	}
	return true, ""
}

// version reports whether every engine has loaded the wanted version of a trainer's
// weights.
func (s *state) version(trainer, want string) (bool, string) {
	for i, e := range s.k.Engines {
		if v := strconv.FormatInt(e.Version(trainer), 10); v != want {
			return false, fmt.Sprintf("engine-%d has version %s", i, v)
		}
	}
	return true, ""
}

// streams reports whether all engines together have started the wanted number of streams.
func (s *state) streams(want string) (bool, string) {
	n := 0
	for _, e := range s.k.Engines {
		n += e.Started()
	}
	return strconv.Itoa(n) == want, fmt.Sprintf("engines have started %d streams", n)
}

// allCollected reports whether every stream that an engine has started was read to its
// end and removed by an owner. If so, no stream was abandoned and generated again.
func (s *state) allCollected() (bool, string) {
	started, collected := 0, 0
	for _, e := range s.k.Engines {
		started += e.Started()
		collected += e.Collected()
	}
	return started == collected, fmt.Sprintf("engines have started %d streams, %d were read to their end", started, collected)
}

// hasMetric reports whether the metrics of a running host have a line that begins with
// the text.
func (s *state) hasMetric(text string) (bool, string) {
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
	return false, "no host has a metric " + text
}

// checkInvariants fails the script if a running host has counted a broken invariant.
func (s *state) checkInvariants(t *testscript.TestScript) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, h := range s.k.Up() {
		c := operator.New(operator.ClientConfig{Address: h.Settings.Listen.Operators})
		a, err := c.HostStatus(ctx)
		t.Check(err)
		if n := a.Hosts[0].Bugs; n > 0 {
			t.Fatalf("%s has counted %d broken invariants", h.Settings.Name, n)
		}
	}
}
