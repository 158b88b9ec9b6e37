package experiment

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Summary is one row of a report: one policy over all seeds.
type Summary struct {
	Policy string `json:"policy"`
	// Median and P99 are of the step times as ratios to the limit.
	Median float64 `json:"step-median"`
	P99    float64 `json:"step-p99"`
	// Idle is the mean time that a trainer waited for samples, in seconds a step.
	Idle float64 `json:"idle-seconds"`
	// StaleMean and StaleP99 are in versions.
	StaleMean float64 `json:"staleness-mean"`
	StaleP99  int64   `json:"staleness-p99"`
	// Thrown is the part of all generated tokens that no sample has.
	Thrown float64 `json:"thrown"`
	Over   int     `json:"over-bound"`
	// ChatP50 and ChatP99 are of the interactive completions, in seconds.
	ChatP50 float64 `json:"chat-p50"`
	ChatP99 float64 `json:"chat-p99"`
	Swaps   int     `json:"swaps"`
	Failed  int     `json:"failed-loads"`
	Deaths  int     `json:"engine-deaths"`
	Runs    int     `json:"runs"`
	ratios  []float64
	idles   []float64
	stales  []int64
	load    []Point
}

// Report is the result of an experiment.
type Report struct {
	Config *Config
	Rows   []*Summary
	// Took is the processor time of the runs divided by the cores, roughly the
	// time on the wall.
	Took time.Duration
}

// Measure runs all policies on all seeds, as many at once as there are cores.
func Measure(c *Config) *Report {
	began := time.Now()
	all := make([][]*Result, len(c.Policies))
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range c.Policies {
		all[i] = make([]*Result, len(c.Seeds))
		for j, s := range c.Seeds {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				all[i][j] = Run(c, &c.Policies[i], s)
			})
		}
	}
	wg.Wait()
	r := &Report{Config: c}
	for i := range c.Policies {
		r.Rows = append(r.Rows, summarise(c.Policies[i].Name, all[i]))
	}
	r.Took = time.Since(began)
	return r
}

func summarise(name string, l []*Result) *Summary {
	s := &Summary{Policy: name, Runs: len(l)}
	var tokens, thrown int64
	var chats []float64
	for i, r := range l {
		for _, x := range r.Steps {
			s.ratios = append(s.ratios, float64(x.Took)/float64(x.Limit))
			s.idles = append(s.idles, sec(x.Idle))
		}
		s.stales = append(s.stales, r.Stale...)
		tokens += r.Tokens
		thrown += r.Thrown
		s.Over += r.Over
		chats = append(chats, r.Chat...)
		s.Swaps += r.Swaps
		s.Failed += r.Failures
		s.Deaths += r.Deaths
		if i == 0 {
			s.load = r.Load
		}
	}
	slices.Sort(s.ratios)
	slices.Sort(s.idles)
	slices.Sort(s.stales)
	slices.Sort(chats)
	s.Median, s.P99 = quantile(s.ratios, 0.5), quantile(s.ratios, 0.99)
	s.Idle = mean(s.idles)
	s.StaleMean, s.StaleP99 = meanInt(s.stales), quantile(s.stales, 0.99)
	s.Thrown = float64(thrown) / math.Max(1, float64(tokens+thrown))
	s.ChatP50, s.ChatP99 = quantile(chats, 0.5), quantile(chats, 0.99)
	return s
}

func quantile[T any](l []T, q float64) T {
	if len(l) == 0 {
		var zero T
		return zero
	}
	return l[min(len(l)-1, int(q*float64(len(l))))]
}

func mean(l []float64) float64 {
	x := 0.0
	for _, v := range l {
		x += v
	}
	return x / math.Max(1, float64(len(l)))
}

func meanInt(l []int64) float64 {
	x := int64(0)
	for _, v := range l {
		x += v
	}
	return float64(x) / math.Max(1, float64(len(l)))
}

// Table writes the report as a table.
func (r *Report) Table(w io.Writer) error {
	c := r.Config
	_, _ = fmt.Fprintf(w, "%s: %s\n%d engines, %d trainers, %d steps, %d seeds, lag %v, hop %v\n\n", c.Name, c.Text,
		c.Engines, len(c.Trainers), c.Steps, len(c.Seeds), c.Lag.D(), c.Hop.D())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "policy\tstep/limit p50\tp99\tidle s/step\tvs base\tstale mean\tp99\tthrown\tover\tchat p50\tp99\tswaps\tfailed\tdeaths")
	base := 0.0
	for _, s := range r.Rows {
		if s.Policy == c.Baseline {
			base = s.Idle
		}
	}
	for _, s := range r.Rows {
		rel := "-"
		if base > 0 {
			rel = fmt.Sprintf("%+.0f%%", 100*(s.Idle/base-1))
		}
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.2f\t%s\t%.3f\t%d\t%.2f%%\t%d\t%.2f\t%.2f\t%d\t%d\t%d\n", s.Policy, s.Median, s.P99, s.Idle, rel,
			s.StaleMean, s.StaleP99, 100*s.Thrown, s.Over, s.ChatP50, s.ChatP99, s.Swaps, s.Failed, s.Deaths)
	}
	return t.Flush()
}
