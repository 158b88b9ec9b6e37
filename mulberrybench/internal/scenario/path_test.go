package scenario_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"mulberrypier.example/mulberrybench/internal/cluster"
	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/mulberrybench/internal/standin"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/trainer"
)

// newSmallCluster starts a cluster of three hosts and four fast engines, with the
// configuration changed by f if it is not nil.
func newSmallCluster(t *testing.T, f func(*cluster.Config)) *cluster.Cluster {
	t.Helper()
	c := cluster.Config{
		Hosts: 3, Engines: 4, Services: 2, Domains: 3, Capacity: 16, Trainers: []string{"thaw"}, Bound: 2,
		Engine: model.Config{
			Speed: 1000, HalfSpeedBatch: 32, MaxBatch: 16, PrefillTokens: 5, CachePrefixes: 64,
			LoadTime: 100 * time.Millisecond, Pause: 20 * time.Millisecond,
		},
		Lengths: model.Lengths{Median: 120, GroupSigma: 0.3, SampleSigma: 0.3, Seed: 1},
	}
	if f != nil {
		f(&c)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	k, err := cluster.New(ctx, c)
	require.NoError(t, err)
	t.Cleanup(k.Close)
	return k
}

// newGroups returns n groups of the given number of samples each.
func newGroups(n, samples int) []rollout.Group {
	var l []rollout.Group
	for i := range n {
		l = append(l, rollout.Group{First: rollout.Slot(i * samples), Samples: samples, MaxTokens: 2000, Prompt: fmt.Sprintf("scene %d", i)})
	}
	return l
}

// callService sends one request to the plain service "registry" through the host at a
// and returns the status and the body of the response.
func callService(t *testing.T, a netip.AddrPort, method, path, key, body string) (int, string) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, "http://"+a.String()+"/v1/services/registry"+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	q.Header.Set("X-Deadline", "8s")
	r, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return r.StatusCode, string(b)
}

// TestWholePath pulls one step through three hosts while two new versions of the weights
// are published, and then calls a plain service through each host. Every sample must be
// complete, scored and within the staleness bound, and every call executed once.
func TestWholePath(t *testing.T) {
	k := newSmallCluster(t, nil)
	c := trainer.New(trainer.Config{Trainer: "thaw", Hosts: k.Callers()})
	s, err := c.Open(t.Context(), 1, newGroups(12, 8))
	require.NoError(t, err)
	s.Version, s.Max = 1, 8
	versions := map[rollout.Version]int{}
	n := 0
	for !s.Complete() {
		l, err := s.Pull(t.Context())
		require.NoError(t, err)
		for _, m := range l {
			require.True(t, m.Complete(), "%v", m.Segments)
			require.LessOrEqual(t, int64(s.Version-m.Oldest()), int64(2))
			require.NotNil(t, m.Score)
			p := fmt.Sprintf("scene %d", int(m.Slot)/8)
			require.Equal(t, standin.Text(p, 0, m.Tokens), m.Text)
			versions[m.Segments[len(m.Segments)-1].Version]++
		}
		n += len(l)
		if v := rollout.Version(1 + min(2, n/24)); v > s.Version {
			s.Version = v
			require.NoError(t, c.Publish(t.Context(), v))
		}
	}
	require.NoError(t, s.Finish(t.Context()))
	require.Equal(t, 96, n)
	require.GreaterOrEqual(t, len(versions), 2)

	for i, a := range k.Callers() {
		b := fmt.Sprintf("reprint %d", i)
		code, body := callService(t, a, "POST", "/reprints", uuid.Must(uuid.NewV7()).String(), b)
		require.Equal(t, http.StatusOK, code)
		require.Equal(t, string(standin.Answer("POST", "/reprints", []byte(b), 4096)), body)
		require.Equal(t, 1, k.Executed.Count(b))
	}
}

// TestNotes publishes a release note, a second one with the same base, which must be
// rejected, and the first one again, which must leave the revision as it is.
func TestNotes(t *testing.T) {
	k := newSmallCluster(t, nil)
	v := k.Note().Added.Servers[3]
	v.Leaving = true
	n := &release.Note{ID: "second", Base: 1}
	n.Changed.Servers = []release.Server{v}
	p, err := k.Publish(t.Context(), n)
	require.NoError(t, err)
	require.Equal(t, "in-force", p.State)
	require.Equal(t, 3, p.InForce)

	r := &release.Note{ID: "racing", Base: 1}
	v.Leaving = false
	r.Changed.Servers = []release.Server{v}
	p, err = k.Publish(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, "rejected", p.State)

	p, err = k.Publish(t.Context(), n)
	require.NoError(t, err)
	require.Equal(t, "in-force", p.State)
	c, err := k.OperatorClient().Config(t.Context())
	require.NoError(t, err)
	require.Equal(t, int64(2), c.Revision)
}
