package orderlease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ttl = 3 * time.Second

// holder is a host of the randomised run: it can be suspended, and its clock goes
// on meanwhile.
type holder struct {
	*Lease
	// wakes is until when the host is suspended.
	wakes time.Duration
}

// Hosts that pause, read late, lose answers and start anew take and renew the
// lease. No two of them may hold it at one time, fences must grow from holder to
// holder, and the order of a new holder comes a lease time after the last record.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []*Record
		var late []func()
		now := time.Duration(0)
		hosts := make([]*holder, 3)
		for i := range hosts {
			hosts[i] = &holder{Lease: New(Config{Host: fmt.Sprint("h", i), Machine: fmt.Sprint("m", i), TTL: ttl})}
		}
		lastFence, lastHolder := int64(0), ""
		for n := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pass")) * time.Millisecond
			i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			h := hosts[i]
			if now < h.wakes {
				continue
			}
			read := func() {
				for h.Next() < int64(len(log)) {
					h.Read(h.Next(), log[h.Next()], now)
				}
			}
			appendAt := func(at int64, r *Record) bool {
				if at != int64(len(log)) {
					return false
				}
				log = append(log, r)
				return true
			}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				h.wakes = now + time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause"))*time.Millisecond
			case 1:
				hosts[i] = &holder{Lease: New(Config{Host: fmt.Sprint("h", i, "-", n), Machine: fmt.Sprint("m", i), TTL: ttl})}
			case 2:
				for _, f := range late {
					f()
				}
				late = nil
			case 3, 4:
				read()
			default:
				if !h.MayAppend(now) {
					continue
				}
				r, at, sent := &Record{Holder: h.c.Host, Machine: h.c.Machine}, h.Next(), now
				switch rapid.IntRange(0, 3).Draw(t, "answer") {
				case 0:
					appendAt(at, r)
				case 1:
					late = append(late, func() { appendAt(at, r) })
				default:
					if appendAt(at, r) {
						h.Appended(at, sent)
					} else {
						read()
					}
				}
			}
			held := 0
			for _, x := range hosts {
				if x.Holds(now) {
					held++
					if x.c.Host != lastHolder {
						require.Greater(t, x.Fence(), lastFence)
					}
					require.GreaterOrEqual(t, x.Fence(), lastFence)
					lastFence, lastHolder = x.Fence(), x.c.Host
				}
			}
			require.LessOrEqual(t, held, 1)
		}
	})
}

func TestHolderStopsBeforeOthersMayTake(t *testing.T) {
	a, b := New(Config{Host: "a", TTL: ttl}), New(Config{Host: "b", TTL: ttl})
	a.Appended(0, 0)
	b.Read(0, &Record{Holder: "a"}, 5*time.Millisecond)
	require.True(t, a.Holds(ttl-Margin-1))
	require.False(t, a.Holds(ttl-Margin))
	require.False(t, b.MayAppend(ttl))
	require.True(t, b.MayAppend(ttl+Margin+5*time.Millisecond))
}

// All hosts lose power: the one that held the lease goes on with it as soon as it is
// back, with a higher fencing number. Others wait, also one that only has its name.
func TestNewStartGoesOnWithItsOwnLease(t *testing.T) {
	last := &Record{Holder: "a-1", Machine: "a@10.0.0.1", Fence: 1}
	again := New(Config{Host: "a-2", Machine: "a@10.0.0.1", TTL: ttl})
	moved := New(Config{Host: "a-3", Machine: "a@10.0.0.2", TTL: ttl})
	other := New(Config{Host: "b-1", Machine: "b@10.0.0.3", TTL: ttl})
	for _, l := range []*Lease{again, moved, other} {
		l.Read(0, &Record{Holder: "a-1", Machine: "a@10.0.0.1"}, 0)
		l.Read(1, last, 0)
	}
	require.False(t, again.Holds(0), "the lease is taken anew")
	require.True(t, again.Own())
	require.True(t, again.MayAppend(0))
	require.False(t, other.Own())
	require.False(t, moved.MayAppend(ttl))
	require.False(t, other.MayAppend(ttl))
	again.Appended(2, 0)
	require.Greater(t, again.Fence(), last.Fence)
	again.Read(3, &Record{Holder: "b-1", Machine: "b@10.0.0.3"}, ttl)
	require.False(t, again.MayAppend(ttl), "another host has it")
}

// Records that name no machine belong to nobody.
func TestRecordWithoutMachineIsWaitedFor(t *testing.T) {
	n := New(Config{Host: "a-2", TTL: ttl})
	n.Read(0, &Record{Holder: "a-1"}, 0)
	require.False(t, n.MayAppend(ttl))
}

func FuzzDecode(f *testing.F) {
	b, _ := (&Record{Holder: "a", Load: &Load{Server: "s"}}).Encode()
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}
