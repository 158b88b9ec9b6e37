// Package scenario implements the testscript commands of the scripted scenarios. A
// scenario is a txtar archive whose script starts hosts and stand-ins, injects
// failures, and states what is expected. docs/design/scenarios.md lists the commands.
package scenario

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"mulberrypier.example/mulberrybench/internal/cluster"
	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/pier/settings"
)

// defaultTimeout bounds the wait for an expectation for which the script gives no
// within=, and each call that a command makes.
const defaultTimeout = 20 * time.Second

type stateKey struct{}

// state is what one running script has started.
type state struct {
	// k is nil until the command cluster.
	k *cluster.Cluster
	// dir is the folder for the hosts' settings files.
	dir string
	// steps and calls hold the steps and calls by the script's names for them.
	steps map[string]*step
	calls map[string]*call
	// keys maps the script's names of idempotency keys to the UUIDs that are sent.
	keys map[string]string
}

// Setup creates the state of a script and registers its clean-up. It is the Setup
// function of testscript.Params.
func Setup(e *testscript.Env) error {
	s := &state{dir: e.WorkDir, steps: make(map[string]*step), calls: make(map[string]*call), keys: make(map[string]string)}
	e.Values[stateKey{}] = s
	e.Defer(func() {
		for _, p := range s.steps {
			p.cancel()
		}
		if s.k != nil {
			s.k.Close()
		}
	})
	return nil
}

// Commands returns the commands of the scenario scripts by name. None of them can be
// negated.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	m := map[string]func(*state, *testscript.TestScript, []string){
		"cluster":     (*state).cluster,
		"start":       (*state).start,
		"crash":       (*state).crash,
		"pause":       (*state).pause,
		"resume":      (*state).resume,
		"drain":       (*state).drain,
		"silence":     (*state).silence,
		"cut":         (*state).cut,
		"heal":        (*state).heal,
		"down":        (*state).down,
		"up":          (*state).up,
		"lose-answer": (*state).loseAnswer,
		"spoil":       (*state).spoil,
		"fail-loads":  (*state).failLoads,
		"expire":      (*state).expire,
		"leave":       (*state).leave,
		"note":        (*state).note,
		"step":        (*state).step,
		"call":        (*state).call,
		"chat":        (*state).chat,
		"answer":      (*state).answer,
		"sleep":       (*state).sleep,
		"expect":      (*state).expect,
	}
	r := make(map[string]func(*testscript.TestScript, bool, []string))
	for n, f := range m {
		r[n] = func(t *testscript.TestScript, neg bool, args []string) {
			if neg {
				t.Fatalf("command %s cannot be negated", n)
			}
			f(t.Value(stateKey{}).(*state), t, args)
		}
	}
	return r
}

// parseOptions returns the key=value arguments as a map, and the other arguments in
// order.
func parseOptions(args []string) (map[string]string, []string) {
	m := make(map[string]string)
	var l []string
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok {
			m[k] = v
			continue
		}
		l = append(l, a)
	}
	return m, l
}

// number returns the option k as an integer, or d if it is not given.
func number(t *testscript.TestScript, m map[string]string, k string, d int) int {
	v, ok := m[k]
	if !ok {
		return d
	}
	n, err := strconv.Atoi(v)
	t.Check(err)
	return n
}

// duration returns the option k as a duration, or d if it is not given.
func duration(t *testscript.TestScript, m map[string]string, k string, d time.Duration) time.Duration {
	v, ok := m[k]
	if !ok {
		return d
	}
	x, err := time.ParseDuration(v)
	t.Check(err)
	return x
}

// cluster starts the hosts and stand-ins:
//
//	cluster [hosts=3] [engines=4] [services=2] [domains=3] [capacity=16]
//	        [trainers=thaw,...] [bound=2] [speed=1000] [median=120] [load=100ms]
//	        [service-delay=0s] [keep=0] [set.KEY=VALUE ...] [processes]
//
// set.KEY changes a setting of all hosts, see applySettings. With "processes" each
// host is a process of its own.
func (s *state) cluster(t *testscript.TestScript, args []string) {
	m, flags := parseOptions(args)
	c := cluster.Config{
		Hosts: number(t, m, "hosts", 3), Engines: number(t, m, "engines", 4), Services: number(t, m, "services", 2),
		Domains: number(t, m, "domains", 3), Capacity: number(t, m, "capacity", 16),
		Trainers: strings.Split(value(m, "trainers", "thaw"), ","), Bound: int64(number(t, m, "bound", 2)),
		KeepRecords: number(t, m, "keep", 0), ServiceDelay: duration(t, m, "service-delay", 0),
		Engine: model.Config{
			Speed: float64(number(t, m, "speed", 1000)), HalfSpeedBatch: 32,
			MaxBatch: number(t, m, "capacity", 16), PrefillTokens: 5,
			CachePrefixes: 64, LoadTime: duration(t, m, "load", 100*time.Millisecond), Pause: 20 * time.Millisecond,
		},
		Lengths:        model.Lengths{Median: float64(number(t, m, "median", 120)), GroupSigma: 0.3, SampleSigma: 0.3, Seed: 1},
		AdjustSettings: func(x *settings.Settings) { applySettings(t, x, m) },
	}
	if slices.Contains(flags, "processes") {
		c.Launch = s.startProcess
	}
	x, cancel := context.WithTimeout(context.Background(), defaultTimeout)
	defer cancel()
	k, err := cluster.New(x, c)
	t.Check(err)
	s.k = k
}

// value returns the option k, or d if it is not given.
func value(m map[string]string, k, d string) string {
	if v, ok := m[k]; ok {
		return v
	}
	return d
}

// applySettings changes the settings that a script gives as set.KEY=VALUE.
func applySettings(t *testscript.TestScript, x *settings.Settings, m map[string]string) {
	for _, k := range slices.Sorted(maps.Keys(m)) {
		n, ok := strings.CutPrefix(k, "set.")
		if !ok {
			continue
		}
		d := func() settings.Duration { return settings.Duration(duration(t, m, k, 0)) }
		switch n {
		case "drain":
			x.Timing.Drain = d()
		case "silence":
			x.Timing.IdleTimeout = d()
		case "adoption":
			x.Timing.Adoption = d()
		case "key-horizon":
			x.Timing.KeyHorizon = d()
		case "load-limit":
			x.Timing.LoadLimit = d()
		case "running":
			x.Limits.Running = number(t, m, k, 0)
		case "waiting":
			x.Limits.Waiting = number(t, m, k, 0)
		case "spares":
			x.Policy.Spares = number(t, m, k, 0)
		case "spare-after":
			x.Policy.SpareAfter = d()
		default:
			t.Fatalf("cluster: unknown setting set.%s", n)
		}
	}
}

// host returns the host with the given name; the script fails if there is none.
func (s *state) host(t *testscript.TestScript, name string) *cluster.Host {
	h := s.k.Host(name)
	if h == nil {
		t.Fatalf("no host %s", name)
	}
	return h
}

// parseIndex returns N of a name such as engine-N; the script fails unless N < count.
func parseIndex(t *testscript.TestScript, name, prefix string, count int) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, prefix))
	t.Check(err)
	if n >= count {
		t.Fatalf("no %s", name)
	}
	return n
}

// waitFor polls f until it returns true. After d the script fails with the text that
// f returned last, which describes the observed state.
func waitFor(t *testscript.TestScript, d time.Duration, f func() (bool, string)) {
	end := time.Now().Add(d)
	for {
		ok, observed := f()
		if ok {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", d, observed)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// writeSettings writes the settings of a host as a TOML file into the script's
// folder and returns the file's path.
func (s *state) writeSettings(x *settings.Settings) (string, error) {
	b, err := encodeTOML(x)
	if err != nil {
		return "", err
	}
	f := filepath.Join(s.dir, x.Name+".toml")
	return f, os.WriteFile(f, b, 0o600)
}

func (s *state) String() string { return fmt.Sprintf("scenario in %s", s.dir) }
