package logtrace

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const logs = `
 4.0 a {"level":"info","ts":"2026-05-26T11:37:04.000Z","msg":"step: accepted","id":"s1","model":"m1","driver":"a-1"}
 4.1 b {"level":"info","ts":"2026-05-26T11:37:04.100Z","msg":"orders: load ordered","server":"e1","model":"m1","version":2}
 4.1 b {"level":"info","ts":"2026-05-26T11:37:04.100Z","msg":"orders: load ordered","server":"e9","model":"m9","version":2}
 4.2 a {"level":"info","ts":"2026-05-26T11:37:04.200Z","msg":"sample: run failed","id":"x1","server":"e1","reason":"unreachable"}
 4.3 a {"level":"info","ts":"2026-05-26T11:37:04.300Z","msg":"servers: avoided","server":"e1","reason":"unreachable"}
 4.4 a {"level":"info","ts":"2026-05-26T11:37:04.400Z","msg":"servers: avoided","server":"e2","reason":"unreachable"}
 4.5 a {"level":"warn","ts":"2026-05-26T11:37:04.500Z","msg":"log: out of reach","part":"steps/3"}
 4.5 c {"level":"warn","ts":"2026-05-26T11:37:04.500Z","msg":"log: out of reach","part":"steps/4"}
 5.0 a {"level":"info","ts":"2026-05-26T11:37:05.000Z","msg":"sample: ended","id":"x1","step":"s1","server":"e1","state":"completed"}
 5.0 a {"level":"info","ts":"2026-05-26T11:37:05.000Z","msg":"sample: ended","id":"x2","step":"s1","server":"e1","state":"completed"}
 5.1 a {"level":"info","ts":"2026-05-26T11:37:05.100Z","msg":"step: left","id":"s1"}
 9.9 a {"level":"info","ts":"2026-05-26T11:37:09.900Z","msg":"servers: avoided","server":"e1"}
 1.0 d {"level":"info","ts":"2026-05-26T11:37:01.000Z","msg":"request: trial failed","id":"r1","request-key":"k1","server":"e5"}
 9.9 a {"level":"info","ts":"2026-05-26T11:37:09.900Z","msg":"request: refused, servers ended under it","id":"r2","request-key":"k1"}
torn {"level":"info","ts":"2026-05-26T11:3
`

func messages(l []Line) []string {
	var r []string
	for _, x := range l {
		r = append(r, x.Host+" "+x.Message)
	}
	return r
}

// TestOf checks which lines are returned for the ID of a sample and of a step: the lines
// about other servers, hosts and times must be left out.
func TestOf(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(logs), "stdin")
	require.NoError(t, err)
	require.Equal(t, 2, skipped, "the empty line and the truncated one")
	tests := map[string]struct {
		id   string
		want []string
	}{
		"a sample": {"x1", []string{
			"a step: accepted", "b orders: load ordered", "a sample: run failed", "a servers: avoided", "a log: out of reach",
			"a sample: ended", "a step: left",
		}},
		"a step": {"s1", []string{
			"a step: accepted", "b orders: load ordered", "a servers: avoided", "a log: out of reach",
			"a sample: ended", "a sample: ended", "a step: left",
		}},
		"a request that came before": {"r2", []string{
			"d request: trial failed", "a request: refused, servers ended under it",
		}},
		"unknown": {"x9", nil},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, messages(About(lines, c.id, time.Second))) })
	}
}

// TestHostOfALine checks that a line without a log collector's prefix gets the host that
// is passed to Read.
func TestHostOfALine(t *testing.T) {
	l, _, err := Read(strings.NewReader(`{"ts":"2026-05-26T11:37:04Z","msg":"host: started"}`), "front-1")
	require.NoError(t, err)
	require.Equal(t, "front-1", l[0].Host)
}

// FuzzRead checks that malformed logs do not cause a panic.
func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Fuzz(func(_ *testing.T, s string) {
		l, _, _ := Read(strings.NewReader(s), "h")
		About(l, "s1", time.Second)
	})
}

// TestServersThatWereAsked checks that a request without an answer is explained by the lines
// about the servers that it was sent to, also if it was sent to several.
func TestServersThatWereAsked(t *testing.T) {
	const log = `
a {"ts":"2026-05-26T11:37:04.300Z","msg":"servers: avoided","server":"d1","reason":"connection-silent"}
a {"ts":"2026-05-26T11:37:04.400Z","msg":"servers: avoided","server":"d2","reason":"connection-silent"}
a {"ts":"2026-05-26T11:37:04.400Z","msg":"servers: avoided","server":"d3","reason":"connection-silent"}
a {"ts":"2026-05-26T11:37:04.500Z","msg":"request: not answered","id":"r1","reason":"deadline-exceeded","at":"d1,d2"}
`
	lines, _, err := Read(strings.NewReader(log), "stdin")
	require.NoError(t, err)
	got := About(lines, "r1", time.Second)
	require.Equal(t, []string{"a servers: avoided", "a servers: avoided", "a request: not answered"}, messages(got))
	require.Equal(t, "d1", got[0].field("server"))
	require.Equal(t, "d2", got[1].field("server"))
}

// TestTriesOfOneStream checks that a stream is explained by all its tries, whichever is asked for.
func TestTriesOfOneStream(t *testing.T) {
	const log = `
a {"ts":"2026-05-26T11:37:04.300Z","msg":"stream: answered","id":"t1","server":"e1","software":"v1","resumes":""}
b {"ts":"2026-05-26T11:37:04.400Z","msg":"stream: not taken up","id":"t2","resumes":"t1"}
c {"ts":"2026-05-26T11:37:04.500Z","msg":"stream: answered","id":"t3","server":"e2","software":"v1","resumes":"t1"}
c {"ts":"2026-05-26T11:37:04.600Z","msg":"stream: answered","id":"u1","server":"e2","software":"v1","resumes":""}
`
	lines, _, err := Read(strings.NewReader(log), "stdin")
	require.NoError(t, err)
	for _, id := range []string{"t1", "t2", "t3"} {
		got := messages(About(lines, id, 0))
		require.Equal(t, []string{"a stream: answered", "b stream: not taken up", "c stream: answered"}, got, id)
	}
}
