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

// Summary is one row of a report: the results of one policy over all seeds.
type Summary struct {
	Policy string `json:"policy"`
	// StepMedian and StepP99 are quantiles of the step times, as ratios to the shortest
	// possible time of the step.
	StepMedian float64 `json:"step-median"`
	StepP99    float64 `json:"step-p99"`
	// IdleTime is the mean time that a trainer waited for samples, in seconds a step.
	IdleTime float64 `json:"idle-seconds"`
	// StalenessMean and StalenessP99 are in versions.
	StalenessMean float64 `json:"staleness-mean"`
	StalenessP99  int64   `json:"staleness-p99"`
	// Discarded is the fraction of the generated tokens that is not part of any sample handed
	// over. OverBound counts the samples handed over above their staleness bound.
	Discarded float64 `json:"thrown"`
	OverBound int     `json:"over-bound"`
	// ChatP50 and ChatP99 are quantiles of the times of the interactive completions, in
	// seconds.
	ChatP50 float64 `json:"chat-p50"`
	ChatP99 float64 `json:"chat-p99"`
	// Swaps and FailedLoads count the weight loads that succeeded and failed, Crashes the
	// crashes of engines, and Runs the runs, one for each seed.
	Swaps       int `json:"swaps"`
	FailedLoads int `json:"failed-loads"`
	Crashes     int `json:"engine-deaths"`
	Runs        int `json:"runs"`
	// stepRatios, idleTimes and staleness hold the sorted values of all steps and
	// samples; load is the load over time of the first seed.
	stepRatios []float64
	idleTimes  []float64
	staleness  []int64
	load       []LoadPoint
}

// Report is the result of an experiment.
type Report struct {
	Config *Config
	Rows   []*Summary
	// Took is the wall-clock time from the start of the first run to the end of the last.
	Took time.Duration
}

// Measure runs all policies on all seeds, GOMAXPROCS runs at a time.
func Measure(c *Config) *Report {
	start := time.Now()
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
	r.Took = time.Since(start)
	return r
}

// summarise combines the results of one policy, one for each seed.
func summarise(name string, l []*Result) *Summary {
	s := &Summary{Policy: name, Runs: len(l)}
	var tokens, discarded int64
	var chats []float64
	for i, r := range l {
		for _, x := range r.Steps {
			s.stepRatios = append(s.stepRatios, float64(x.Took)/float64(x.MinTime))
			s.idleTimes = append(s.idleTimes, seconds(x.IdleTime))
		}
		s.staleness = append(s.staleness, r.Staleness...)
		tokens += r.Tokens
		discarded += r.Discarded
		s.OverBound += r.OverBound
		chats = append(chats, r.ChatTimes...)
		s.Swaps += r.Swaps
		s.FailedLoads += r.Failures
		s.Crashes += r.Crashes
		if i == 0 {
			s.load = r.LoadOverTime
		}
	}
	slices.Sort(s.stepRatios)
	slices.Sort(s.idleTimes)
	slices.Sort(s.staleness)
	slices.Sort(chats)
	s.StepMedian, s.StepP99 = quantile(s.stepRatios, 0.5), quantile(s.stepRatios, 0.99)
	s.IdleTime = mean(s.idleTimes)
	s.StalenessMean, s.StalenessP99 = meanInt(s.staleness), quantile(s.staleness, 0.99)
	s.Discarded = float64(discarded) / math.Max(1, float64(tokens+discarded))
	s.ChatP50, s.ChatP99 = quantile(chats, 0.5), quantile(chats, 0.99)
	return s
}

// quantile returns the q-quantile of a sorted list, or the zero value if it is empty.
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

// Table writes the report as a text table with one row for each policy.
func (r *Report) Table(w io.Writer) error {
	c := r.Config
	_, _ = fmt.Fprintf(w, "%s: %s\n%d engines, %d trainers, %d steps, %d seeds, lag %v, hop %v\n\n", c.Name, c.Text,
		c.Engines, len(c.Trainers), c.Steps, len(c.Seeds), c.Lag.D(), c.HopLatency.D())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "policy\tstep/limit p50\tp99\tidle s/step\tvs base\tstale mean\tp99\tthrown\tover\tchat p50\tp99\tswaps\tfailed\tdeaths")
	base := 0.0
	for _, s := range r.Rows {
		if s.Policy == c.Baseline {
			base = s.IdleTime
		}
	}
	for _, s := range r.Rows {
		rel := "-"
		if base > 0 {
			rel = fmt.Sprintf("%+.0f%%", 100*(s.IdleTime/base-1))
		}
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.2f\t%s\t%.3f\t%d\t%.2f%%\t%d\t%.2f\t%.2f\t%d\t%d\t%d\n", s.Policy, s.StepMedian, s.StepP99, s.IdleTime, rel,
			s.StalenessMean, s.StalenessP99, 100*s.Discarded, s.OverBound, s.ChatP50, s.ChatP99, s.Swaps, s.FailedLoads, s.Crashes)
	}
	return t.Flush()
}
