package daemon

import (
	"context"
	"sync"
	"time"

	"mulberrypier.example/pier/release"
)

// maxFailedReports is the number of consecutive failed load reports after which
// a server counts as down.
const maxFailedReports = 2

// pollServers reads the load of each owned server and then carries out the actions
// on load orders that are due.
func (o *owners) pollServers(ctx context.Context) {
	o.mu.Lock()
	l := append([]string(nil), o.table.Names()...)
	due := o.fenceDue
	o.fenceDue = false
	o.mu.Unlock()
	if due {
		go o.renewFence(ctx)
	}
	var wg sync.WaitGroup
	for _, n := range l {
		wg.Go(func() { o.pollServer(ctx, n) })
	}
	wg.Wait()
	o.mu.Lock()
	o.requestVersions()
	actions := o.orders.Next(time.Now())
	o.mu.Unlock()
	for _, t := range actions {
		go o.advanceOrder(ctx, t)
	}
}

// pollServer reads the load of one server. The server counts as down after
// maxFailedReports consecutive failures.
func (o *owners) pollServer(ctx context.Context, n string) {
	o.mu.Lock()
	v, ok := o.table.Get(n)
	listStreams := o.unlisted[n]
	o.mu.Unlock()
	if !ok {
		return
	}
	l, err := o.d.engines.Load(ctx, v.Address)
	if err == nil && listStreams {
		err = o.listStreams(ctx, v)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.d.metrics.retry("report", err)
		if o.failedReports[n]++; o.failedReports[n] >= maxFailedReports {
			o.table.Down(n)
		}
		return
	}
	o.failedReports[n] = 0
	w, _ := o.table.View(n)
	o.table.Report(time.Now(), n, l)
	if w.Down {
		o.triggerOffer()
	}
	o.failedLoads[n] = l.Failed
}

// listStreams lists the streams on a newly owned server. It adopts the rollout
// streams whose driver is gone. All others that are unfinished and not this host's
// own count against the server's capacity until they end.
func (o *owners) listStreams(ctx context.Context, v release.Server) error {
	l, err := o.d.engines.Streams(ctx, v.Address)
	if err != nil {
		return err
	}
	foreign := 0
	for _, r := range l {
		t, ok := parseStream(r.Stream)
		switch {
		case r.Driver == o.d.id:
		case ok && !o.d.members.alive(r.Driver):
			o.adoptStream(v.Name, t, r.Prompt)
		case !r.Finished:
			foreign++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.SetForeign(v.Name, foreign)
	if foreign == 0 {
		delete(o.unlisted, v.Name)
	}
	return nil
}
