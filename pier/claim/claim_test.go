package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/outcome"
)

var conf = Config{Horizon: time.Hour, Skew: time.Minute, Max: 1000}

// TestAdmit covers which keys may be claimed.
func TestAdmit(t *testing.T) {
	now := time.Unix(1e6, 0)
	for name, x := range map[string]struct {
		issued time.Duration
		most   int
		reason outcome.Reason
	}{
		"now":              {0, 10, ""},
		"at the horizon":   {-time.Hour, 10, ""},
		"past the horizon": {-time.Hour - time.Second, 10, outcome.ReasonKeyTooOld},
		"in the future":    {2 * time.Minute, 10, outcome.ReasonBadRequest},
		"ledger full":      {0, 0, outcome.ReasonClaimsFull},
	} {
		t.Run(name, func(t *testing.T) {
			c := conf
			c.Max = x.most
			err := New(c).Admit(now, now.Add(x.issued))
			if x.reason == "" {
				require.NoError(t, err)
				return
			}
			require.True(t, outcome.Is(err, x.reason))
			require.Equal(t, outcome.NotRun, outcome.From(err).Outcome)
		})
	}
}

// host is a holder of a partition as the random run sees it.
type host struct {
	l *Ledger
	// mine maps each key to the nonce of this host's claim.
	mine map[string]string
}

// TestLedgerRandom lets hosts that each think they hold a partition claim the
// same keys. Appends get lost, or take effect without an answer; hosts stand
// still, restart, and records expire. No key that is within its horizon runs
// under two claims, unless the first said that it did not run.
func TestLedgerRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at time.Time
			r  Record
		}
		var log []entry
		oldest := 0
		now := time.Unix(1e6, 0)
		hosts := []*host{}
		for range 3 {
			hosts = append(hosts, &host{New(conf), map[string]string{}})
		}
		issued := map[string]time.Time{}
		runs := map[string]int{}
		read := func(h *host) {
			if int(h.l.Next()) < oldest {
				h.l.Skip(int64(oldest))
			}
			for i := int(h.l.Next()); i < len(log); i++ {
				h.l.Apply(int64(i), log[i].at, &log[i].r)
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "acts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "s")) * time.Second)
			h := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			k := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
			switch rapid.IntRange(0, 6).Draw(t, "act") {
			case 0:
				*h = host{New(conf), map[string]string{}}
			case 1:
				for oldest < len(log) && now.Sub(log[oldest].at) > conf.Horizon+2*conf.Skew {
					oldest++
				}
			default:
				if _, ok := issued[k]; !ok {
					issued[k] = now
				}
				if h.l.Admit(now, issued[k]) != nil {
					continue
				}
				r := Record{Key: k, Nonce: fmt.Sprint("n", i)}
				lost := rapid.IntRange(0, 3).Draw(t, "append")
				if lost > 0 {
					log = append(log, entry{now, r})
				}
				read(h)
				c, ok := h.l.Get(k)
				if !ok || c.Nonce != r.Nonce {
					continue
				}
				if rapid.IntRange(0, 3).Draw(t, "not run") == 0 {
					log = append(log, entry{now, Record{Key: k, Nonce: r.Nonce, Release: true}})
					continue
				}
				runs[k]++
				require.Equal(t, 1, runs[k], "key %s ran twice", k)
			}
		}
	})
}

// TestExpire covers that claims are forgotten only when their key cannot be valid.
func TestExpire(t *testing.T) {
	l := New(conf)
	at := time.Unix(1e6, 0)
	l.Apply(0, at, &Record{Key: "a", Nonce: "1"})
	l.Apply(1, at.Add(conf.Horizon), &Record{Key: "b", Nonce: "2"})
	_, ok := l.Get("a")
	require.True(t, ok)
	l.Apply(2, at.Add(conf.Horizon+3*conf.Skew), &Record{Key: "c", Nonce: "3"})
	_, ok = l.Get("a")
	require.False(t, ok)
	require.Equal(t, 2, l.Len())
}

// FuzzDecode feeds records of any kind.
func FuzzDecode(f *testing.F) {
	f.Add((&Record{Key: "k", Nonce: "n"}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := Decode(b); err != nil {
			require.True(t, outcome.Is(err, outcome.ReasonBadRequest))
		}
	})
}

// BenchmarkApply measures one record.
func BenchmarkApply(b *testing.B) {
	l := New(Config{Horizon: time.Hour, Skew: time.Minute, Max: 1 << 30})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := time.Unix(1e6, 0).Add(time.Duration(i) * time.Millisecond)
		l.Apply(int64(i), at, &Record{Key: fmt.Sprint(i), Nonce: "n"})
	}
}

// TestRelease covers that a claim is given back by its own nonce only.
func TestRelease(t *testing.T) {
	l := New(conf)
	at := time.Unix(1e6, 0)
	l.Apply(0, at, &Record{Key: "a", Nonce: "1"})
	l.Apply(1, at, &Record{Key: "a", Nonce: "2"})
	l.Apply(2, at, &Record{Key: "a", Nonce: "2", Release: true})
	c, ok := l.Get("a")
	require.True(t, ok)
	require.Equal(t, "1", c.Nonce)
	l.Apply(3, at, &Record{Key: "a", Nonce: "1", Release: true})
	_, ok = l.Get("a")
	require.False(t, ok)
}
