package gateway

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/memlog"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// lossHosts is the number of hosts in a test of losses, and lossItems that of the items of a step.
	lossHosts = 3
	lossItems = 3
	// maxLossExpired bounds the records that expire at once.
	maxLossExpired = 8
)

// lossRecordBytes holds the sizes of records that hosts take for allowed: two of them write checkpoints in
// several.
var lossRecordBytes = []int{256 << 10, 300, 220}

// losses is a log in which all steps are in one partition, and the hosts that use it.
type losses struct {
	t     *testing.T
	log   *memlog.Log
	hosts []*Gateway
	// started is the number of hosts there ever were.
	started int
	// ids holds the IDs of the steps that hosts accept and write records of, all also those that
	// the log names no more.
	ids []string
	all []string
	// whole has read all records before they expired, records holds them.
	whole   *stepjournal.Fold
	records [][]byte
	// accepted holds the offsets behind each acceptance of a step.
	accepted map[string][]int64
	first    int64
}

func newLosses(t *testing.T) *losses {
	x := &losses{
		t: t, log: newLog(), accepted: make(map[string][]int64),
		whole: stepjournal.NewFold(stepjournal.FoldConfig{Now: func() time.Duration { return 0 }}),
	}
	for range lossHosts {
		x.hosts = append(x.hosts, x.start())
	}
	for i := 0; len(x.ids) < 3; i++ {
		x.renew(fmt.Sprint("s", i))
	}
	return x
}

// start starts a host that knows nothing, and whose view is rebuilt only when the test has it rebuilt.
func (x *losses) start() *Gateway {
	x.started++
	g := newHost(x.t, fmt.Sprint("h", x.started), x.log.Functions())
	g.s.Log.RecordBytes = lossRecordBytes[x.started%len(lossRecordBytes)]
	g.journal.view(0).rebuildAfter = math.MaxInt64
	g.table(nil)
	return g
}

// renew makes a step known to the test if its partition is the one of the test.
func (x *losses) renew(id string) bool {
	if stepjournal.PartitionOf(id, testParts) != 0 {
		return false
	}
	x.ids, x.all = append(x.ids, id), append(x.all, id)
	return true
}

// replace replaces a step that the log names no more by another one.
func (x *losses) replace(i int) {
	x.ids = slices.Delete(x.ids, i, i+1)
	for n := 0; !x.renew(fmt.Sprint("again-", len(x.all), "-", n)); n++ {
	}
}

// look has the test itself read the log to its end.
func (x *losses) look(t *rapid.T) {
	p, err := x.log.Functions().Read(context.Background(), partitionlog.ReadRequest{
		Partition: partitionlog.Partition{Topic: stepjournal.Topic}, From: x.whole.Next, MaxBytes: 1 << 30,
	})
	require.NoError(t, err)
	for _, b := range p.Records {
		x.records = append(x.records, b)
		require.NoError(t, x.whole.Apply(b))
		if s, err := stepjournal.DecodeStep([][]byte{b}); err == nil && s.ID != "" {
			x.accepted[s.ID] = append(x.accepted[s.ID], x.whole.Next)
		}
	}
	x.whole.DropExpired(p.First, p.End)
	x.first = p.First
}

// step draws a step. One that the log named and names no more is replaced: whoever submits it again
// submits a new one.
func (x *losses) step(t *rapid.T) *stepjournal.Step {
	x.look(t)
	i := rapid.IntRange(0, len(x.ids)-1).Draw(t, "step")
	if id := x.ids[i]; len(x.accepted[id]) > 0 && x.whole.Step(id) == nil {
		x.replace(i)
		i = len(x.ids) - 1
	}
	return newStep(x.ids[i], lossItems)
}

// accept has a host accept a step, maybe again. If it says that the step is stored, it is.
func (x *losses) accept(t *rapid.T, g *Gateway) {
	s := x.step(t)
	err := g.Accept(context.Background(), route(g), s)
	x.look(t)
	if err == nil {
		require.NotNil(t, x.whole.Step(s.ID), "step %s was accepted and is not in the log", s.ID)
	}
}

// write has a host append a record of a step that it knows.
func (x *losses) write(t *rapid.T, g *Gateway) {
	s := x.step(t)
	v := g.journal.get(s.ID)
	e, _, ok := v.entry(s.ID)
	if !ok {
		return
	}
	i := rapid.IntRange(0, lossItems-1).Draw(t, "item")
	var b []byte
	var err error
	switch rapid.SampledFrom([]string{"result", "result", "progress", "end", "driver"}).Draw(t, "kind") {
	case "result":
		b, err = stepjournal.Finished(&stepjournal.Result{
			Step: s.ID, ItemIndex: i, ID: s.Items[i].ID, State: stepjournal.Completed, Text: fmt.Sprint(len(x.records)),
		})
	case "progress":
		b, err = stepjournal.Saved(s.ID, &stepjournal.Progress{ItemIndex: i, Text: "t", LastEvent: 1})
	case "end":
		b, err = stepjournal.Ended(s.ID, time.Now())
	case "driver":
		b, err = stepjournal.TakenOver(s.ID, e.Driver.Host, stepjournal.Driver{})
	}
	require.NoError(t, err)
	// A record that the log refuses or loses is one of the cases.
	_, _ = v.append(context.Background(), [][]byte{b})
}

// expire drops the oldest records, but none between two acceptances of a step, nor any before a
// delayed append: they are seconds apart, and no record tells a host that begins to read in between
// that the second acceptance is not the first.
func (x *losses) expire(t *rapid.T) {
	x.log.RunDelayed()
	x.look(t)
	first := rapid.Int64Range(x.first, min(x.first+maxLossExpired, x.whole.Next)).Draw(t, "first")
	for again := true; again; {
		again = false
		for _, l := range x.accepted {
			if l[0] <= first && first < l[len(l)-1] {
				first, again = l[len(l)-1], true
			}
		}
	}
	x.log.Expire(partitionlog.Partition{Topic: stepjournal.Topic}, first)
	x.log.Expire(partitionlog.Partition{Topic: checkpointsTopic}, rapid.Int64Range(0, maxLossExpired).Draw(t, "checkpoints"))
	x.look(t)
}

// check reads all steps at a host.
func (x *losses) check(t *rapid.T, g *Gateway) {
	x.look(t)
	for _, id := range x.all {
		w := x.whole.Step(id)
		if w == nil {
			continue // The log names the step no more, and a host may or may not have noticed.
		}
		r, err := x.read(g, id)
		for i := range r {
			want, err := stepjournal.DecodeResult(x.records[w.Results[i]])
			require.NoError(t, err)
			require.Equal(t, want, r[i], "step %s, position %d", id, i)
		}
		if err == nil {
			require.Len(t, r, len(w.Results), "step %s", id)
			x.checkBody(t, g, w)
			continue
		}
		require.True(t, outcome.HasReason(err, outcome.ReasonLogDown), "step %s: %v", id, err)
		expired := len(r) < len(w.Results) && w.Results[len(r)] < x.first
		require.True(t, expired || g.journal.get(id).cutOff(id), "step %s: %v", id, err)
	}
}

// read reads the results of a step at a host up to the last one that is listed.
func (x *losses) read(g *Gateway, id string) (l []*stepjournal.Result, err error) {
	for {
		r, err := g.Results(context.Background(), Principal{}, id, len(l), 0)
		if err != nil || len(r.Results) == 0 {
			return l, err
		}
		l = append(l, r.Results...)
	}
}

// checkBody checks that the body of an item can be read while the log holds it.
func (x *losses) checkBody(t *rapid.T, g *Gateway, w *stepjournal.Entry) {
	if w.From < x.first {
		return
	}
	b, err := g.Body(context.Background(), Principal{}, w.ID, fmt.Sprint(w.ID, "-", lossItems-1))
	require.NoError(t, err)
	require.Equal(t, []byte("p"), b)
}

// Hosts accept steps, write their records and checkpoints, lose answers, are lost, and start again,
// while records expire. Whatever they do, a step whose acceptance was acknowledged is read from every
// host with the same results at the same positions, or refused by one that cannot tell.
func TestStepsAreReadFromEveryHostWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		x := newLosses(t)
		defer func() { stopHosts(x.hosts) }()
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			i := rapid.IntRange(0, lossHosts-1).Draw(r, "host")
			g := x.hosts[i]
			v := g.journal.view(0)
			switch rapid.SampledFrom([]string{
				"accept", "accept", "write", "write", "write", "write", "sync", "sync", "check", "checkpoint", "checkpoint",
				"restore", "rebuild", "expire", "lose answer", "delay", "run delayed", "lose host",
			}).Draw(r, "event") {
			case "accept":
				x.accept(r, g)
			case "write":
				x.write(r, g)
			case "sync":
				require.NoError(r, v.sync(context.Background()))
			case "check":
				x.check(r, g)
			case "checkpoint":
				v.writeCheckpoint()
			case "restore":
				require.NoError(r, v.restoreNewest(context.Background()))
			case "rebuild":
				// Without a checkpoint that is far enough on, nothing changes.
				_ = v.rebuild(context.Background())
			case "expire":
				x.expire(r)
			case "lose answer":
				x.log.LoseAnswers(1)
			case "delay":
				x.log.DelayAppends(1)
			case "run delayed":
				x.log.RunDelayed()
			case "lose host":
				g.Close()
				x.hosts[i] = x.start()
			}
		}
		for _, g := range x.hosts {
			x.check(r, g)
		}
	})
}
