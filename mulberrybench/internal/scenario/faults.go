package scenario

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// start starts what was killed, or a new host: start host|host-N|engine-N|log.
func (s *state) start(t *testscript.TestScript, args []string) {
	for _, n := range args {
		switch {
		case n == "host":
			_, err := s.k.AddHost()
			t.Check(err)
		case strings.HasPrefix(n, "host-"):
			t.Check(s.k.Restart(s.host(t, n)))
		case strings.HasPrefix(n, "engine-"):
			t.Check(s.k.Engines[index(t, n, "engine-", len(s.k.Engines))].Restart())
		case strings.HasPrefix(n, "registry-"):
			t.Check(s.k.Services[index(t, n, "registry-", len(s.k.Services))].Restart())
		default:
			t.Fatalf("cannot start %s", n)
		}
	}
}

// crash ends hosts, engines or services at once; "owner SERVER", "coordinator
// TRAINER" and "only-owner TRAINER" (an owner that does not coordinate) name a
// host by its role.
func (s *state) crash(t *testscript.TestScript, args []string) {
	if len(args) == 2 && (args[0] == "coordinator" || args[0] == "owner" || args[0] == "only-owner") {
		s.k.Kill(s.byRole(t, args[0], args[1]))
		return
	}
	for _, n := range args {
		switch {
		case strings.HasPrefix(n, "host-"):
			s.k.Kill(s.host(t, n))
		case strings.HasPrefix(n, "engine-"):
			s.k.Engines[index(t, n, "engine-", len(s.k.Engines))].Crash()
		case strings.HasPrefix(n, "registry-"):
			s.k.Services[index(t, n, "registry-", len(s.k.Services))].Kill()
		default:
			t.Fatalf("cannot crash %s", n)
		}
	}
}

// pause freezes hosts that are processes; resume lets them go on.
func (s *state) pause(t *testscript.TestScript, args []string) {
	for _, n := range args {
		s.host(t, n).Process.Pause()
	}
}

func (s *state) resume(t *testscript.TestScript, args []string) {
	for _, n := range args {
		s.host(t, n).Process.Resume()
	}
}

// drain carries out the planned stop of hosts, one after the other; with "&" at
// the end it does not wait.
func (s *state) drain(t *testscript.TestScript, args []string) {
	back := args[len(args)-1] == "&"
	for _, n := range args {
		if n == "&" {
			continue
		}
		h := s.host(t, n)
		f := func() {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			s.k.Drain(ctx, h)
		}
		if back {
			go f()
			continue
		}
		f()
	}
}

// silence makes the open connections of stand-ins silent for good, while new
// ones work: silence engine-N|registry-N|log|scorer.
func (s *state) silence(t *testscript.TestScript, args []string) {
	for _, n := range args {
		switch {
		case strings.HasPrefix(n, "engine-"):
			s.k.Engines[index(t, n, "engine-", len(s.k.Engines))].StallConnections()
		case strings.HasPrefix(n, "registry-"):
			s.k.Services[index(t, n, "registry-", len(s.k.Services))].StallConnections()
		case n == "log":
			s.k.Log.StallConnections()
		case n == "scorer":
			s.k.Scorer.StallConnections()
		case n == "peers":
			s.k.SilencePeers()
		default:
			t.Fatalf("cannot silence %s", n)
		}
	}
}

// cut parts hosts: cut A B parts two, cut A parts one from all others.
func (s *state) cut(t *testscript.TestScript, args []string) { s.part(t, args, true) }

// heal joins hosts again; without arguments all of them.
func (s *state) heal(t *testscript.TestScript, args []string) { s.part(t, args, false) }

func (s *state) part(t *testscript.TestScript, args []string, cut bool) {
	l := s.k.Hosts()
	for _, a := range l {
		for _, b := range l {
			x, y := a.Settings.Name, b.Settings.Name
			named := len(args) == 0 || len(args) == 1 && x == args[0] || len(args) == 2 && x == args[0] && y == args[1]
			if x != y && named {
				s.k.Cut(x, y, cut)
			}
		}
	}
	if len(args) > 2 {
		t.Fatalf("cut takes one host or two")
	}
}

// down begins an outage of the log; up ends it.
func (s *state) down(t *testscript.TestScript, args []string) {
	if args[0] != "log" {
		t.Fatalf("only the log has outages")
	}
	s.k.Log.SetUnavailable(true)
}

func (s *state) up(_ *testscript.TestScript, _ []string) { s.k.Log.SetUnavailable(false) }

// loseAnswer makes the next answers get lost after the action took effect:
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
		s.k.Services[index(t, args[0], "registry-", len(s.k.Services))].DropResponses(n)
	}
}

// spoil makes the next answers of a service end early or carry another request's
// id: spoil registry-N short|crossed COUNT.
func (s *state) spoil(t *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[2])
	t.Check(err)
	v := s.k.Services[index(t, args[0], "registry-", len(s.k.Services))]
	if args[1] == "short" {
		v.TruncateResponses(n)
		return
	}
	v.MismatchIDs(n)
}

// failLoads makes the loads of weights on an engine fail for a part of the time.
func (s *state) failLoads(t *testscript.TestScript, args []string) {
	f, err := strconv.ParseFloat(args[1], 64)
	t.Check(err)
	s.k.Engines[index(t, args[0], "engine-", len(s.k.Engines))].SetLoadFails(f)
}

// expire drops all but the newest records of a stream: expire STREAM KEEP.
func (s *state) expire(t *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[1])
	t.Check(err)
	s.k.Log.Expire(args[0], n)
}

// leave makes an engine say by itself that it is about to stop.
func (s *state) leave(t *testscript.TestScript, args []string) {
	s.k.Engines[index(t, args[0], "engine-", len(s.k.Engines))].SetLeaving(true)
}

// sleep lets time pass, as when a failure has to last for a while.
func (s *state) sleep(t *testscript.TestScript, args []string) {
	d, err := time.ParseDuration(args[0])
	t.Check(err)
	time.Sleep(d)
}
