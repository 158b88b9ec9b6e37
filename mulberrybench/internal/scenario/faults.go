package scenario

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// start restarts hosts, engines or services that were crashed, or adds a new host:
// start host|host-N|engine-N|registry-N ...
func (s *state) start(t *testscript.TestScript, args []string) {
	for _, n := range args {
		switch {
		case n == "host":
			_, err := s.k.AddHost()
			t.Check(err)
		case strings.HasPrefix(n, "host-"):
			t.Check(s.k.Restart(s.host(t, n)))
		case strings.HasPrefix(n, "engine-"):
			t.Check(s.k.Engines[parseIndex(t, n, "engine-", len(s.k.Engines))].Restart())
		case strings.HasPrefix(n, "registry-"):
			t.Check(s.k.Services[parseIndex(t, n, "registry-", len(s.k.Services))].Restart())
		default:
			t.Fatalf("cannot start %s", n)
		}
	}
}

// crash kills hosts, engines or services at once: crash host-N|engine-N|registry-N ...
// A host can also be named by its role: "owner SERVER", "coordinator TRAINER", or
// "only-owner TRAINER", an owner that does not coordinate a step of the trainer.
func (s *state) crash(t *testscript.TestScript, args []string) {
	if len(args) == 2 && (args[0] == "coordinator" || args[0] == "owner" || args[0] == "only-owner") {
		s.k.Kill(s.hostByRole(t, args[0], args[1]))
		return
	}
	for _, n := range args {
		switch {
		case strings.HasPrefix(n, "host-"):
			s.k.Kill(s.host(t, n))
		case strings.HasPrefix(n, "engine-"):
			s.k.Engines[parseIndex(t, n, "engine-", len(s.k.Engines))].Crash()
		case strings.HasPrefix(n, "registry-"):
			s.k.Services[parseIndex(t, n, "registry-", len(s.k.Services))].Kill()
		default:
			t.Fatalf("cannot crash %s", n)
		}
	}
}

// pause suspends hosts that are processes of their own: pause host-N ...
func (s *state) pause(t *testscript.TestScript, args []string) {
	for _, n := range args {
		s.host(t, n).Process.Pause()
	}
}

// resume continues suspended hosts: resume host-N ...
func (s *state) resume(t *testscript.TestScript, args []string) {
	for _, n := range args {
		s.host(t, n).Process.Resume()
	}
}

// drain shuts hosts down gracefully, one after the other: drain host-N ... [&]. With
// "&" the script goes on without waiting, and the hosts drain concurrently.
func (s *state) drain(t *testscript.TestScript, args []string) {
	background := args[len(args)-1] == "&"
	for _, n := range args {
		if n == "&" {
			continue
		}
		h := s.host(t, n)
		f := func() {
			ctx, cancel := context.WithTimeout(context.Background(), defaultTimeout)
			defer cancel()
			s.k.Drain(ctx, h)
		}
		if background {
			go f()
			continue
		}
		f()
	}
}

// silence stalls the open connections of stand-ins or between hosts for good, while
// new ones work: silence engine-N|registry-N|log|scorer|peers ...
func (s *state) silence(t *testscript.TestScript, args []string) {
	for _, n := range args {
		switch {
		case strings.HasPrefix(n, "engine-"):
			s.k.Engines[parseIndex(t, n, "engine-", len(s.k.Engines))].StallConnections()
		case strings.HasPrefix(n, "registry-"):
			s.k.Services[parseIndex(t, n, "registry-", len(s.k.Services))].StallConnections()
		case n == "log":
			s.k.Log.StallConnections()
		case n == "scorer":
			s.k.Scorer.StallConnections()
		case n == "peers":
			s.k.StallPeerConnections()
		default:
			t.Fatalf("cannot silence %s", n)
		}
	}
}

// cut starts a network partition: cut A B separates two hosts, cut A separates one host
// from all others, and cut without arguments separates all hosts from each other.
func (s *state) cut(t *testscript.TestScript, args []string) { s.setPartition(t, args, true) }

// heal ends a network partition; its arguments are those of cut.
func (s *state) heal(t *testscript.TestScript, args []string) { s.setPartition(t, args, false) }

func (s *state) setPartition(t *testscript.TestScript, args []string, partitioned bool) {
	l := s.k.Hosts()
	for _, a := range l {
		for _, b := range l {
			x, y := a.Settings.Name, b.Settings.Name
			named := len(args) == 0 || len(args) == 1 && x == args[0] || len(args) == 2 && x == args[0] && y == args[1]
			if x != y && named {
				s.k.SetPartitioned(x, y, partitioned)
			}
		}
	}
	if len(args) > 2 {
		t.Fatalf("cut and heal take at most two hosts")
	}
}

// down starts an outage of the log: down log.
func (s *state) down(t *testscript.TestScript, args []string) {
	if args[0] != "log" {
		t.Fatalf("down: only the log supports outages")
	}
	s.k.Log.SetUnavailable(true)
}

// up ends the outage of the log: up log.
func (s *state) up(_ *testscript.TestScript, _ []string) { s.k.Log.SetUnavailable(false) }

// loseAnswer drops the next COUNT responses after their requests have taken effect:
// lose-answer log|scorer|registry-N COUNT.
func (s *state) loseAnswer(t *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[1])
	t.Check(err)
	switch args[0] {
	case "log":
		s.k.Log.DropAppendResponses(n)
	case "scorer":
		s.k.Scorer.DropResponses(n)
	default:
		s.k.Services[parseIndex(t, args[0], "registry-", len(s.k.Services))].DropResponses(n)
	}
}

// spoil truncates the next COUNT responses of a service, or sends them with the id of
// another request: spoil registry-N short|crossed COUNT.
func (s *state) spoil(t *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[2])
	t.Check(err)
	v := s.k.Services[parseIndex(t, args[0], "registry-", len(s.k.Services))]
	if args[1] == "short" {
		v.TruncateResponses(n)
		return
	}
	v.MismatchIDs(n)
}

// failLoads makes a fraction of the weight loads on an engine fail: fail-loads engine-N
// FRACTION.
func (s *state) failLoads(t *testscript.TestScript, args []string) {
	f, err := strconv.ParseFloat(args[1], 64)
	t.Check(err)
	s.k.Engines[parseIndex(t, args[0], "engine-", len(s.k.Engines))].SetLoadFails(f)
}

// expire removes all but the newest KEEP records of a stream of the log: expire STREAM
// KEEP.
func (s *state) expire(t *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[1])
	t.Check(err)
	s.k.Log.Expire(args[0], n)
}

// leave makes an engine report that it is about to stop: leave engine-N.
func (s *state) leave(t *testscript.TestScript, args []string) {
	s.k.Engines[parseIndex(t, args[0], "engine-", len(s.k.Engines))].SetLeaving(true)
}

// sleep waits, for example while a failure lasts: sleep DURATION.
func (s *state) sleep(t *testscript.TestScript, args []string) {
	d, err := time.ParseDuration(args[0])
	t.Check(err)
	time.Sleep(d)
}
