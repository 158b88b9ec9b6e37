package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// writeRegistration records that the host has read a registration that was written after a time.
func (g *Gateway) writeRegistration(s directory.Server, after time.Time) {
	g.register(s)
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.fleet.renewals[s.ID] = renewal{born: s.Born, after: after}
}

// Guards against streams joined from two software versions: their server states no start, and has
// started again under its id as other software, which hosts have not read yet.
func TestStreamIsContinuedOnlyOnceItsServerIsConfirmed(t *testing.T) {
	tests := map[string]struct {
		// then is the software that the server registers next, started at born.
		then string
		born time.Time
		// goesOn is set if the caller can take its stream up after that.
		goesOn bool
	}{
		"the same incarnation":       {"1", time.UnixMilli(1), true},
		"started as other software":  {"2", time.UnixMilli(2), false},
		"started as the same, later": {"1", time.UnixMilli(2), false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLog()
			a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
			s := startSoftware(t, "desk", "1", 1, 3, &cutOnce{})[0].Server
			for _, g := range []*Gateway{a, b} {
				g.streamTable()
				g.writeRegistration(s, time.Now())
			}
			begun, _, err := readStream(a, streamCall(a, "s", "", 0))
			require.NoError(t, err)
			require.Len(t, begun, 3)
			time.Sleep(4 * confirmInterval)
			_, _, err = readStream(b, streamCall(b, "s2", "s", 3))
			require.True(t, outcome.HasReason(err, outcome.ReasonUnknownOrigin), "nobody knows yet what began it: %v", err)
			require.Positive(t, outcome.AsError(err).RetryAfter)

			s.Software, s.Born = c.then, c.born
			a.writeRegistration(s, time.Now())
			b.writeRegistration(s, time.Now().Add(time.Hour))
			time.Sleep(4 * confirmInterval)
			_, complete, err := readStream(b, streamCall(b, "s3", "s", 3))
			require.Equal(t, c.goesOn, err == nil && complete, "%v", err)
		})
	}
}

// Guards against a host out of step that sends a stream to a server which has started again.
func TestStreamIsNotContinuedAtAnUnconfirmedServer(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.streamTable()
	first := startSoftware(t, "desk", "1", 1, 3, &cutOnce{})[0]
	g.register(first.Server)
	_, _, err := readStream(g, streamCall(g, "s", "", 0))
	require.NoError(t, err)
	first.Leaving = true
	again := startSoftware(t, "desk", "2", 1, 0, &cutOnce{})[0]
	again.Software = "1"
	g.register(first.Server)
	g.writeRegistration(again.Server, time.Now())
	_, _, err = readStream(g, streamCall(g, "s2", "s", 3))
	require.True(t, outcome.HasReason(err, outcome.ReasonUnconfirmed), "%v", err)
	require.Positive(t, outcome.AsError(err).RetryAfter)
	require.Empty(t, again.runs())
}

// The host knows of a record only that it was written after the last read that reached the end.
func TestFollowerKnowsWhenRecordsWereWritten(t *testing.T) {
	l := newLog()
	g := newHost(t, "a", l.Functions())
	got := make(map[string]time.Time)
	f := follower{
		g: g, topic: "keyed.x", next: -1,
		retainKeys: func(map[string]bool) {},
	}
	f.put = func(key string, _ []byte, _ int64) { got[key] = f.writtenAfter }
	write := func(key string) {
		_, err := l.Functions().Append(context.Background(), partitionlog.AppendRequest{
			Partition:   partitionlog.Partition{Topic: "keyed.x"},
			ExpectedEnd: partitionlog.NoCondition, Records: [][]byte{partitionlog.EncodeKeyed(key, []byte("v"))},
		})
		require.NoError(t, err)
	}
	write("before")
	require.NoError(t, f.readNext())
	require.True(t, got["before"].IsZero(), "nothing is known of what is there at the start")
	start := time.Now()
	write("unread")
	require.NoError(t, f.readNext())
	require.False(t, got["unread"].After(start), "it was written before the read that brought it")
	middle := time.Now()
	require.NoError(t, f.readNext(), "an empty read that reaches the end")
	write("later")
	require.NoError(t, f.readNext())
	require.False(t, got["later"].Before(middle))
}
