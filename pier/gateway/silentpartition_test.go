package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// silentBut returns a log that does not answer reads of the journal but of one partition.
func silentBut(l partitionlog.Log, good int) partitionlog.Log {
	read := l.Read
	l.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if q.Partition.Topic == stepjournal.Topic && q.Partition.Number != good {
			<-ctx.Done()
			return partitionlog.Page{}, ctx.Err()
		}
		return read(ctx, q)
	}
	return l
}

// followFailing has a host follow partitions whose last page failed.
func (g *Gateway) followFailing(from, to int) {
	for n := from; n < to; n++ {
		v := g.journal.view(n)
		v.failing = true
		v.use()
	}
}

// requireStartEnds checks that a host soon says no more that it is about to drive a step.
func (g *Gateway) requireStartEnds(t *testing.T, step string) {
	t.Helper()
	start := time.Now()
	for g.steps.isStarting(step) && time.Since(start) < 15*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	t.Log("neither driven nor taken over for", time.Since(start))
	require.Less(t, time.Since(start), 3*time.Second)
}

// A partition whose last page failed once waits for its turn behind those that do not answer at all, one at a
// time.
func TestPartitionThatFailedOnceIsReadBesideSilentOnes(t *testing.T) {
	t.Parallel()
	for _, silent := range []int{3, 8, 19} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			l := newLog()
			putStep(t, l.Functions(), "s", 2, 1<<10, 0)
			good := stepPartition("s").Number
			g := newHost(t, "a", silentBut(l.Functions(), good))
			g.followFailing(testParts, testParts+silent)
			v := g.journal.view(good)
			v.failing = true
			time.Sleep(time.Second)
			var err error
			start := time.Now()
			for time.Since(start) < slowLogTime {
				if _, err = g.Results(context.Background(), Principal{}, "s", 0, 0); err == nil {
					break
				}
			}
			t.Log("read after", time.Since(start))
			require.NoError(t, err)
		})
	}
}

// A host that was handed a step waits for its turn to read the journal behind partitions that do not answer. It
// says meanwhile that it drives the step, so that no other host takes it over, and does not.
func TestHostThatCannotReadTheJournalLeavesTheStepToOthers(t *testing.T) {
	t.Parallel()
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", silentBut(l.Functions(), -1))
	listenAll(t, a, b)
	b.preferred.claim("m")
	b.followFailing(testParts, testParts+19)
	b.journal.get("s").failing = true
	time.Sleep(time.Second)
	b.logHealth.answered("test")
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 1)))
	time.Sleep(300 * time.Millisecond)
	b.requireStartEnds(t, "s")
}

// The partition of a step that was handed to a host does not answer it. The host says that it drives the step
// while it waits.
func TestHostWithoutThePartitionLeavesTheStepToOthers(t *testing.T) {
	t.Parallel()
	l := newLog()
	f := silentBut(l.Functions(), -1)
	f.Newest = func(ctx context.Context, _ partitionlog.Partition) (partitionlog.Newest, error) {
		<-ctx.Done()
		return partitionlog.Newest{}, ctx.Err()
	}
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", f)
	listenAll(t, a, b)
	b.preferred.claim("m")
	b.journal.follow("s")
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 1)))
	time.Sleep(300 * time.Millisecond)
	b.requireStartEnds(t, "s")
}
