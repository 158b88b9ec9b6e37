package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/outcome"
)

var testConfig = Config{Horizon: time.Hour, Skew: time.Minute, Max: 1000}

// TestAdmit checks which keys may be claimed.
func TestAdmit(t *testing.T) {
	now := time.Unix(1e6, 0)
	for name, x := range map[string]struct {
		issued    time.Duration
		maxClaims int
		reason    outcome.Reason
	}{
		"now":              {0, 10, ""},
		"at the horizon":   {-time.Hour, 10, ""},
		"past the horizon": {-time.Hour - time.Second, 10, outcome.ReasonKeyTooOld},
		"in the future":    {2 * time.Minute, 10, outcome.ReasonBadRequest},
		"ledger full":      {0, 0, outcome.ReasonClaimsFull},
	} {
		t.Run(name, func(t *testing.T) {
			c := testConfig
			c.Max = x.maxClaims
			err := New(c).Admit(now, now.Add(x.issued))
			if x.reason == "" {
				require.NoError(t, err)
				return
			}
			require.True(t, outcome.HasReason(err, x.reason))
			require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
		})
	}
}

// host is one of the hosts that believe they hold the partition.
type host struct {
	l *Ledger
	// mine maps each key to the nonce of this host's claim.
	mine map[string]string
}

// TestLedgerRandom lets three hosts that all believe they hold a partition claim the same
// keys. Appends are lost, hosts lag and restart, and records expire. No key within its
// horizon runs under two claims, unless the first was released as not run.
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
			hosts = append(hosts, &host{New(testConfig), map[string]string{}})
		}
		issued := map[string]time.Time{}
		runs := map[string]int{}
		read := func(h *host) {
			if int(h.l.Next()) < oldest {
				h.l.SkipTo(int64(oldest))
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
				*h = host{New(testConfig), map[string]string{}}
			case 1:
				for oldest < len(log) && now.Sub(log[oldest].at) > testConfig.Horizon+2*testConfig.Skew {
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
				appended := rapid.IntRange(0, 3).Draw(t, "append")
				if appended > 0 {
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

// TestExpire checks that a claim is dropped only when its key can no longer be valid.
func TestExpire(t *testing.T) {
	l := New(testConfig)
	at := time.Unix(1e6, 0)
	l.Apply(0, at, &Record{Key: "a", Nonce: "1"})
	l.Apply(1, at.Add(testConfig.Horizon), &Record{Key: "b", Nonce: "2"})
	_, ok := l.Get("a")
	require.True(t, ok)
	l.Apply(2, at.Add(testConfig.Horizon+3*testConfig.Skew), &Record{Key: "c", Nonce: "3"})
	_, ok = l.Get("a")
	require.False(t, ok)
	require.Equal(t, 2, l.Len())
}

// FuzzDecode checks that malformed records are refused as bad requests.
func FuzzDecode(f *testing.F) {
	f.Add((&Record{Key: "k", Nonce: "n"}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := Decode(b); err != nil {
			require.True(t, outcome.HasReason(err, outcome.ReasonBadRequest))
		}
	})
}

// BenchmarkApply measures folding one record.
func BenchmarkApply(b *testing.B) {
	l := New(Config{Horizon: time.Hour, Skew: time.Minute, Max: 1 << 30})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := time.Unix(1e6, 0).Add(time.Duration(i) * time.Millisecond)
		l.Apply(int64(i), at, &Record{Key: fmt.Sprint(i), Nonce: "n"})
	}
}

// TestRelease checks that only a release record with the claim's own nonce ends the claim.
func TestRelease(t *testing.T) {
	l := New(testConfig)
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
