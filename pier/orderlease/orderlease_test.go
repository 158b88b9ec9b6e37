package orderlease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ttl = 3 * time.Second

// testHost is a host of the randomised test. It can be suspended, and its clock advances
// meanwhile.
type testHost struct {
	*Lease
	// resumesAt is the time at which the host's suspension ends.
	resumesAt time.Duration
}

// Hosts take and renew the lease while they are suspended, read late, lose the responses to
// their appends, see appends take effect late, and are restarted. No two of them may hold
// the lease at the same time, and fencing tokens must grow from holder to holder.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []*Record
		var delayedAppends []func()
		now := time.Duration(0)
		hosts := make([]*testHost, 3)
		for i := range hosts {
			hosts[i] = &testHost{Lease: New(Config{
				Host:   fmt.Sprint("h", i),
				HostID: fmt.Sprint("m", i), TTL: ttl,
			})}
		}
		lastFence, lastHolder := int64(0), ""
		lastOrder, lastOrderBy := -ttl, ""
		for n := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pass")) * time.Millisecond
			i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			h := hosts[i]
			if now < h.resumesAt {
				continue
			}
			read := func() {
				for h.NextOffset() < int64(len(log)) {
					h.Read(h.NextOffset(), log[h.NextOffset()], now)
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
				h.resumesAt = now + time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause"))*time.Millisecond
			case 1:
				hosts[i] = &testHost{Lease: New(Config{
					Host:   fmt.Sprint("h", i, "-", n),
					HostID: fmt.Sprint("m", i), TTL: ttl,
				})}
			case 2:
				for _, f := range delayedAppends {
					f()
				}
				delayedAppends = nil
			case 3, 4:
				read()
			default:
				if !h.MayAppend(now) {
					continue
				}
				r, at, sent := &Record{Holder: h.c.Host, HostID: h.c.HostID}, h.NextOffset(), now
				r.Slack = time.Duration(rapid.IntRange(0, int(MaxSlack)).Draw(t, "slack"))
				switch rapid.IntRange(0, 3).Draw(t, "answer") {
				case 0:
					appendAt(at, r)
				case 1:
					delayedAppends = append(delayedAppends, func() { appendAt(at, r) })
				default:
					if appendAt(at, r) {
						h.AppendSucceeded(at, sent)
						if h.c.HostID != lastOrderBy {
							require.GreaterOrEqual(t, sent-lastOrder, ttl, "orders of two hosts")
						}
						lastOrder, lastOrderBy = max(lastOrder, min(sent+SafetyMargin+r.Slack, h.Until())), h.c.HostID
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
	a.AppendSucceeded(0, 0)
	b.Read(0, &Record{Holder: "a"}, 5*time.Millisecond)
	require.True(t, a.Holds(ttl-SafetyMargin-1))
	require.False(t, a.Holds(ttl-SafetyMargin))
	require.False(t, b.MayAppend(ttl))
	require.True(t, b.MayAppend(ttl+SafetyMargin+5*time.Millisecond))
}

// The last order of a holder whose log is slow may be as late as the slack of its record says. Others
// must wait for the lease duration from then on, also if later records have less slack.
func TestOthersWaitForTheSlackOfARecord(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		// slack holds that of records sent and read every 100 ms.
		slack []time.Duration
		want  time.Duration
	}{
		"none":           {[]time.Duration{0}, ttl + SafetyMargin},
		"slack":          {[]time.Duration{800 * ms}, ttl + SafetyMargin + 800*ms},
		"less, then":     {[]time.Duration{800 * ms, 0, 0}, ttl + SafetyMargin + 800*ms},
		"more, then":     {[]time.Duration{0, 800 * ms}, ttl + SafetyMargin + 900*ms},
		"far too much":   {[]time.Duration{time.Hour}, ttl + SafetyMargin + MaxSlack},
		"less than none": {[]time.Duration{-time.Hour}, ttl + SafetyMargin},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := New(Config{Host: "b", HostID: "b", TTL: ttl})
			for i, d := range c.slack {
				l.Read(int64(i), &Record{Holder: "a", HostID: "a", Slack: d}, time.Duration(i)*100*ms)
			}
			require.False(t, l.MayAppend(c.want-1))
			require.True(t, l.MayAppend(c.want))
		})
	}
}

// All hosts lose power. The host that held the lease takes it again as soon as it has
// restarted, with a higher fencing token. Other hosts wait for the lease to expire, also one
// of the same name at another address.
func TestNewStartGoesOnWithItsOwnLease(t *testing.T) {
	last := &Record{Holder: "a-1", HostID: "a@10.0.0.1", Fence: 1}
	restarted := New(Config{Host: "a-2", HostID: "a@10.0.0.1", TTL: ttl})
	moved := New(Config{Host: "a-3", HostID: "a@10.0.0.2", TTL: ttl})
	other := New(Config{Host: "b-1", HostID: "b@10.0.0.3", TTL: ttl})
	for _, l := range []*Lease{restarted, moved, other} {
		l.Read(0, &Record{Holder: "a-1", HostID: "a@10.0.0.1"}, 0)
		l.Read(1, last, 0)
	}
	require.False(t, restarted.Holds(0), "a restarted host must take the lease again")
	require.True(t, restarted.OwnsNewest())
	require.True(t, restarted.MayAppend(0))
	require.False(t, other.OwnsNewest())
	require.False(t, moved.MayAppend(ttl))
	require.False(t, other.MayAppend(ttl))
	restarted.AppendSucceeded(2, 0)
	require.Greater(t, restarted.Fence(), last.Fence)
	restarted.Read(3, &Record{Holder: "b-1", HostID: "b@10.0.0.3"}, ttl)
	require.False(t, restarted.MayAppend(ttl), "another host holds the lease")
}

// A record without a host id must not count as this host's own, or a host without one
// would take over a lease that another still holds.
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
