package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/directory"
)

const memory = 5 * time.Minute

var (
	key   = KeyOf(Identity{Target: "/a"})
	other = KeyOf(Identity{Target: "/b"})
)

func server(n int) directory.Incarnation { return directory.Incarnation{ID: fmt.Sprint("s", n)} }

func ended(k Key, n int) Event {
	return Event{Kind: KindEnded, Key: k, Service: "desk", Server: server(n)}
}

func answered(k Key) Event {
	return Event{Kind: KindAnswered, Key: k, Service: "desk", Server: server(99)}
}

// inTrial returns e as the event of a trial.
func inTrial(e Event, trial int) Event {
	e.Trial = trial
	return e
}

func claim(k Key, trial, n int, id string) Event {
	return Event{Kind: KindTrial, Key: k, Service: "desk", Server: server(n), Claim: id, Trial: trial, Lasts: 2 * time.Second}
}

// Each case applies events one second apart; the decision is that of a host at the end.
func TestDecide(t *testing.T) {
	twoEnds := []Event{ended(key, 1), ended(key, 2)}
	lost := func(trial int) []Event {
		return []Event{claim(key, trial, 10+trial, "h"), inTrial(ended(key, 10+trial), trial)}
	}
	join := func(l ...[]Event) []Event {
		var r []Event
		for _, x := range l {
			r = append(r, x...)
		}
		return r
	}
	tests := map[string]struct {
		events []Event
		after  time.Duration
		want   Decision
	}{
		"nothing known":                       {nil, 0, Decision{Action: Send}},
		"one server":                          {twoEnds[:1], time.Second, Decision{Action: SendCarefully, Ends: 1, Age: time.Second}},
		"one server, seen by two hosts":       {[]Event{ended(key, 1), ended(key, 1)}, 0, Decision{Action: SendCarefully, Ends: 1, Age: time.Second}},
		"two servers":                         {twoEnds, 0, Decision{Action: Try, Trial: 1, Ends: 2}},
		"answered":                            {join(twoEnds, []Event{answered(key)}), 0, Decision{Action: Send}},
		"a server ends right after an answer": {join(twoEnds, []Event{answered(key), ended(key, 3)}), 0, Decision{Action: Send}},
		"another request was answered":        {join(twoEnds, []Event{answered(other)}), 0, Decision{Action: Try, Trial: 1, Ends: 2, Age: time.Second}},
		"trial in progress":                   {join(twoEnds, lost(1)[:1]), 0, Decision{Action: Wait, After: 2 * time.Second, Ends: 2, Age: time.Second}},
		"trial whose result is lost":          {join(twoEnds, lost(1)[:1]), 2 * time.Second, Decision{Action: Try, Trial: 2, Ends: 2, Age: 3 * time.Second}},
		"trial not made":                      {join(twoEnds, []Event{claim(key, 1, 5, "h"), {Kind: KindUnused, Key: key, Claim: "h", Trial: 1}}), 0, Decision{Action: Try, Trial: 1, Ends: 2, Age: 2 * time.Second}},
		"another trial not made":              {join(twoEnds, []Event{claim(key, 1, 5, "h"), {Kind: KindUnused, Key: key, Claim: "x", Trial: 1}}), 0, Decision{Action: Wait, After: time.Second, Ends: 2, Age: 2 * time.Second}},
		"first trial ends its server":         {join(twoEnds, lost(1)), 0, Decision{Action: Refuse, After: time.Second, Ends: 3}},
		"second trial is due":                 {join(twoEnds, lost(1)), time.Second, Decision{Action: Try, Trial: 2, Ends: 3, Age: time.Second}},
		"second trial ends its server":        {join(twoEnds, lost(1), lost(2)), 0, Decision{Action: Refuse, After: 30 * time.Second, Ends: 4}},
		"third trial is due":                  {join(twoEnds, lost(1), lost(2)), 30 * time.Second, Decision{Action: Try, Trial: 3, Ends: 4, Age: 30 * time.Second}},
		"third trial ends its server":         {join(twoEnds, lost(1), lost(2), lost(3)), 0, Decision{Action: Refuse, After: memory, Ends: 5}},
		"third trial is answered":             {join(twoEnds, lost(1), lost(2), lost(3)[:1], []Event{inTrial(answered(key), 3)}), 0, Decision{Action: Send}},
		"forgotten":                           {join(twoEnds, lost(1), lost(2), lost(3)), memory, Decision{Action: Send}},
		"kept":                                {[]Event{{Kind: KindKept, Key: key, Ends: 5, Trials: 3}}, 0, Decision{Action: Refuse, After: memory, Ends: 5, Age: time.Second}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(memory)
			now := time.Duration(0)
			for _, e := range c.events {
				now += time.Second
				l.Apply(e, now)
				l.Apply(e, now)
			}
			require.Equal(t, c.want, l.Decide(key, now+c.after))
		})
	}
}

// A sound request runs beside the one that ends the servers. Once the cause is known, the ends
// are not held against the other.
func TestEndsAreNotHeldAgainstANeighbour(t *testing.T) {
	l := NewLedger(memory)
	for n := range 2 {
		l.Apply(ended(key, n), 0)
		l.Apply(ended(other, n), 0)
	}
	require.Equal(t, Try, l.Decide(other, 0).Action)
	for trial := 1; trial <= culpritTrials; trial++ {
		l.Apply(claim(key, trial, 10+trial, "h"), 0)
		l.Apply(inTrial(ended(key, 10+trial), trial), 0)
	}
	require.Equal(t, Send, l.Decide(other, 0).Action)
	l.Apply(ended(other, 11), 0)
	require.Equal(t, Send, l.Decide(other, 0).Action, "seen later by another host")
	require.Equal(t, Refuse, l.Decide(key, 0).Action)
}

// A request that is answered by one service and ends the servers of another stays a suspect.
func TestAnswerClearsOnlyItsService(t *testing.T) {
	l := NewLedger(memory)
	l.Apply(ended(key, 1), 0)
	l.Apply(ended(key, 2), 0)
	e := answered(key)
	e.Service = "records"
	l.Apply(e, 0)
	require.Equal(t, Try, l.Decide(key, 0).Action)
}

func TestServerInTrialIsKnown(t *testing.T) {
	l := NewLedger(memory)
	l.Apply(ended(key, 1), 0)
	l.Apply(ended(key, 2), 0)
	l.Apply(claim(key, 1, 3, "h"), 0)
	require.True(t, l.InTrial(server(3), time.Second))
	require.False(t, l.InTrial(server(4), time.Second))
	require.False(t, l.InTrial(server(3), 2*time.Second), "the trial has lapsed")
	l.Apply(inTrial(answered(key), 1), time.Second)
	require.False(t, l.InTrial(server(3), time.Second))
}

// A request that still comes is kept from being forgotten, also by hosts that start later.
func TestRefusedRequestIsKept(t *testing.T) {
	l := NewLedger(memory)
	l.Apply(Event{Kind: KindKept, Key: key, Ends: 5, Trials: maxTrials}, 0)
	_, due := l.Kept(key, memory/2-1)
	require.False(t, due)
	e, due := l.Kept(key, memory/2)
	require.True(t, due)
	l.Apply(e, memory/2)
	require.Equal(t, Refuse, l.Decide(key, memory+1).Action)
	late := NewLedger(memory)
	late.Apply(e, 0)
	require.Equal(t, Refuse, late.Decide(key, 0).Action)
}

// Callers make up a new request each time. What is known stays bounded, and requests that are
// refused for good are dropped last.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger(memory)
	l.Apply(Event{Kind: KindKept, Key: key, Ends: 5, Trials: maxTrials}, 0)
	for n := range 2 * maxRequests {
		l.Apply(ended(KeyOf(Identity{Target: fmt.Sprint(n)}), n), 0)
	}
	require.LessOrEqual(t, l.Len(), maxRequests)
	require.Len(t, l.order, l.Len())
	require.Equal(t, Refuse, l.Decide(key, 0).Action)
	l.Decide(key, memory)
	require.Zero(t, l.Len())
	require.Empty(t, l.causes)
	require.Empty(t, l.trials)
}

// Hosts read the same events at different times. They accept the same trials, at most one for
// each number, and no more than maxTrials unless some were not made or the request was answered.
func TestHostsAcceptTheSameTrials(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Ledger{NewLedger(memory), NewLedger(memory), NewLedger(memory)}
		now := time.Duration(0)
		accepted := 0
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond
			at := rapid.IntRange(0, 2).Draw(t, "host")
			host := fmt.Sprint("h", at)
			n := rapid.IntRange(1, 9).Draw(t, "server")
			e := ended(key, n)
			if d := hosts[at].Decide(key, now); d.Action == Try {
				e = claim(key, d.Trial, n, fmt.Sprint(host, now))
			} else if rapid.Bool().Draw(t, "trial") {
				e = inTrial(ended(key, n), rapid.IntRange(1, maxTrials).Draw(t, "number"))
			}
			holders := 0
			for _, l := range hosts {
				l.Apply(e, now+time.Duration(rapid.IntRange(0, 50).Draw(t, "lag"))*time.Millisecond)
				if e.Kind == KindTrial && l.HasTrial(key, e.Claim) {
					holders++
				}
			}
			require.Contains(t, []int{0, len(hosts)}, holders)
			if holders > 0 {
				accepted++
			}
		}
		require.LessOrEqual(t, accepted, maxTrials)
	})
}

func FuzzDecode(f *testing.F) {
	b, err := Encode([]Event{ended(key, 1), claim(key, 1, 2, "h")})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		l, err := Decode(b)
		if err != nil {
			return
		}
		g := NewLedger(memory)
		for _, e := range l {
			g.Apply(e, 0)
			g.Decide(e.Key, time.Second)
		}
	})
}
