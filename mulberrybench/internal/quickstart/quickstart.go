// Package quickstart runs a rollout job once, with everything in one process: three
// entry hosts, four engines, two trainers that publish new weights, a plain service,
// and a release note that changes the configuration while the job runs.
package quickstart

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"mulberrypier.example/mulberrybench/internal/cluster"
	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/trainer"
)

// Config holds the parameters of a run.
type Config struct {
	Out io.Writer
	Log *zap.Logger
	// Steps is the number of steps of each trainer. Groups is the number of groups in
	// a step, Samples the number of samples in a group.
	Steps   int
	Groups  int
	Samples int
	// Rows is the number of samples of each step that are printed.
	Rows int
}

// result holds what a trainer measured and received in one step.
type result struct {
	trainer string
	step    int64
	took    time.Duration
	// idle is the part of took that the trainer spent waiting for samples.
	idle time.Duration
	// staleness holds, for each sample, how many versions its oldest tokens were
	// behind the weights in use when the sample arrived.
	staleness []int64
	samples   []*rollout.Sample
}

// Run runs the job and prints its tables. It returns an error if a step cannot be
// completed or a guarantee of the service is violated.
func Run(ctx context.Context, c Config) error {
	k, err := cluster.New(ctx, cluster.Config{
		Hosts: 3, Engines: 4, Services: 2, Domains: 3, Capacity: 16,
		Trainers: []string{"thaw", "crack"}, Bound: 2, Log: c.Log,
		Engine: model.Config{
			Speed: 400, HalfSpeedBatch: 16, MaxBatch: 16, PrefillTokens: 20, CachePrefixes: 64,
			LoadTime: 200 * time.Millisecond, Pause: 50 * time.Millisecond,
		},
		Lengths: model.Lengths{Median: 120, GroupSigma: 0.4, SampleSigma: 0.4, TailShare: 0.02, TailFactor: 4, Seed: 1},
	})
	if err != nil {
		return err
	}
	defer k.Close()
	_, _ = fmt.Fprintf(c.Out, "3 entry hosts, 4 engines, 2 trainers; the first note is in force\n")
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*result
	var firstErr error
	for _, t := range []string{"thaw", "crack"} {
		wg.Go(func() {
			l, err := train(ctx, k.Callers(), t, c)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, l...)
			if err != nil && firstErr == nil {
				firstErr = err
			}
		})
	}
	if err := exerciseCluster(ctx, k, c.Out); err != nil {
		return err
	}
	wg.Wait()
	if firstErr != nil {
		return firstErr
	}
	printTables(c, all)
	return nil
}

// exerciseCluster calls the plain service and publishes a release note while the
// trainers run.
func exerciseCluster(ctx context.Context, k *cluster.Cluster, w io.Writer) error {
	if err := sendOrderTwice(ctx, k, w); err != nil {
		return err
	}
	s := k.Note().Added.Servers[3]
	s.Leaving = true
	n := &release.Note{ID: "second", Base: 1, Text: "engine-3 leaves"}
	n.Changed.Servers = append(n.Changed.Servers, s)
	p, err := k.Publish(ctx, n)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "note %q is %s on %d of %d hosts after %v\n", n.ID, p.State, p.InForce, p.Hosts, p.Took.Round(time.Millisecond))
	return err
}

// sendOrderTwice sends the same order with the same idempotency key through two hosts
// and prints both answers. It returns an error unless the order was executed exactly
// once.
func sendOrderTwice(ctx context.Context, k *cluster.Cluster, w io.Writer) error {
	id := uuid.Must(uuid.NewV7()).String()
	for _, a := range k.Callers()[:2] {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.String()+"/v1/services/registry/reprints", strings.NewReader("certificate-17"))
		if err != nil {
			return err
		}
		q.Header.Set("Idempotency-Key", id)
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			return err
		}
		b, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "order through %v: %d, %d bytes, executed %d time(s)\n", a, r.StatusCode, len(b), k.Executed.Count("certificate-17"))
	}
	if k.Executed.Count("certificate-17") != 1 {
		return outcome.Ambiguous(outcome.ReasonCrossedAnswer, "the order was not executed exactly once", nil)
	}
	return nil
}

// train runs the steps of one trainer. It publishes new weights once in each step,
// when more than half of the samples have arrived.
func train(ctx context.Context, hosts []netip.AddrPort, name string, c Config) ([]*result, error) {
	t := trainer.New(trainer.Config{Trainer: name, Hosts: hosts})
	var l []*result
	v := rollout.Version(1)
	for n := range c.Steps {
		r := &result{trainer: name, step: int64(n)}
		start := time.Now()
		s, err := t.Open(ctx, r.step, newGroups(name, n, c))
		if err != nil {
			return l, err
		}
		s.Version = v
		published := false
		for !s.Complete() {
			at := time.Now()
			b, err := s.Pull(ctx)
			if err != nil {
				return l, err
			}
			r.idle += time.Since(at)
			for _, m := range b {
				r.staleness = append(r.staleness, int64(v-m.Oldest()))
			}
			r.samples = append(r.samples, b...)
			if !published && s.Received() > c.Groups*c.Samples/2 {
				published = true
				v++
				s.Version = v
				if err := t.Publish(ctx, v); err != nil {
					return l, err
				}
			}
		}
		if err := s.Finish(ctx); err != nil {
			return l, err
		}
		r.took = time.Since(start)
		l = append(l, r)
	}
	return l, nil
}

func newGroups(name string, step int, c Config) []rollout.Group {
	var l []rollout.Group
	for i := range c.Groups {
		l = append(l, rollout.Group{
			First: rollout.Slot(i * c.Samples), Samples: c.Samples, MaxTokens: 2000,
			Prompt: fmt.Sprintf("%s: scene %d of step %d", name, i, step),
		})
	}
	return l
}

// printTables prints the first samples of each step with the versions that produced
// their tokens, and the measurements of each step.
func printTables(c Config, l []*result) {
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\ntrainer\tstep\tslot\tattempt\ttokens\tversions (tokens)\tserver\tscore")
	for _, r := range l {
		slices.SortFunc(r.samples, func(a, b *rollout.Sample) int { return int(a.Slot - b.Slot) })
		for _, s := range r.samples[:min(c.Rows, len(r.samples))] {
			var v []string
			for _, g := range s.Segments {
				v = append(v, fmt.Sprintf("%d (%d-%d)", g.Version, g.First, g.End))
			}
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%.2f\n", r.trainer, r.step, s.Slot, s.Attempt, s.Tokens, strings.Join(v, " "), s.Server, *s.Score)
		}
	}
	_, _ = fmt.Fprintln(w, "\ntrainer\tstep\tsamples\ttook\tidle\tstaleness mean\tmost")
	for _, r := range l {
		sum, maxStaleness := int64(0), int64(0)
		for _, v := range r.staleness {
			sum += v
			maxStaleness = max(maxStaleness, v)
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%v\t%v\t%.2f\t%d\n", r.trainer, r.step, len(r.samples), r.took.Round(time.Millisecond),
			r.idle.Round(time.Millisecond), float64(sum)/float64(max(1, len(r.staleness))), maxStaleness)
	}
	_ = w.Flush()
}
