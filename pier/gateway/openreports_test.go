package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/capacityplan"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
)

// newReportingHosts returns hosts that know each other and the configuration; the last one holds the order lease.
func newReportingHosts(t *testing.T, n int) []*Gateway {
	l := startHosts(t, newLog().Functions(), n)
	holder := l[n-1]
	for _, g := range l {
		g.c.Provider = (&fakeProvider{}).api()
		g.scale(0)
		g.orders.notices.setHolder(holder.hostID())
	}
	return l
}

// demandAt returns the demand for engines that a host knows of.
func (g *Gateway) demandAt() openDemand {
	return g.scaling.reports.byService(boottime.Now())["engines"]
}

// Guards against demand that the holder does not know: what runs, by the kind of its server, and what waits.
func TestHolderIsToldOfOpenSamples(t *testing.T) {
	l := newReportingHosts(t, 2)
	driver, holder := l[0], l[1]
	e := startServer(t, "e1", "engines", func(_ *server, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	e.Reclaimable = true
	driver.register(e.Server)
	driver.logHealth.answered("test")
	driver.wg.Go(driver.scaling.reports.run)
	require.NoError(t, driver.Accept(context.Background(), route(driver), newStep("s", 11)))
	k := capacityplan.Group{Domain: "d1", Reclaimable: true}
	require.Eventually(t, func() bool {
		d := holder.demandAt()
		return d.open == 11 && d.largestStep == 11 && d.running[k] == 4
	}, 5*time.Second, 10*time.Millisecond)
	e.Leaving = true
	driver.register(e.Server)
	require.Eventually(t, func() bool { d := holder.demandAt(); return d.open == 11 && d.running[k] == 0 }, 5*time.Second, 10*time.Millisecond)
}

// The link between a driver and the holder fails. The servers that the driver's samples use must not be taken for
// idle.
func TestReportsArePassedOnByPeers(t *testing.T) {
	l := newReportingHosts(t, 3)
	driver, carrier, holder := l[0], l[1], l[2]
	holder.server.Close()
	var from []bool
	holder.listenAs(t, func(_ context.Context, q *peer.Request) (any, error) {
		var r openReport
		require.NoError(t, peer.Decode(q.Body, &r))
		from = append(from, r.PassOn)
		return holder.scaling.reports.answer(q)
	})
	reached := holder.s.Name + "@" + holder.self.Peers.String()
	holder.s.Listen.Peers = holder.self.Peers
	holder.orders.notices.setHolder(reached)
	carrier.orders.notices.setHolder(reached)
	driver.orders.notices.setHolder("holder@" + unusedAddress.String())
	carrier.self.Peers = carrier.s.Listen.Peers
	driver.knowPeers(carrier)
	r := openReport{Host: "driver", Number: 1, Services: []openService{{Service: "engines", Waiting: 3}}}
	require.NoError(t, driver.scaling.reports.deliver(r))
	require.Equal(t, 3, holder.demandAt().open)
	require.Equal(t, []bool{false}, from, "a report must be passed on once only")
}

// Guards against reports that overtake each other, that count for ever, or that fill the memory.
func TestHeldReports(t *testing.T) {
	o := newReportingHosts(t, 1)[0].scaling.reports
	report := func(host string, number int64, waiting int) openReport {
		return openReport{Host: host, Number: number, Services: []openService{{Service: "engines", Waiting: waiting, LargestStep: waiting}}}
	}
	now := time.Hour
	require.NoError(t, o.add(report("a", 2, 5), now))
	require.NoError(t, o.add(report("a", 1, 50), now))
	require.NoError(t, o.add(report("b", 1, 3), now))
	require.Equal(t, 8, o.byService(now)["engines"].open)
	require.Equal(t, 5, o.byService(now)["engines"].largestStep)
	require.NoError(t, o.add(openReport{Host: "a", Number: 3}, now+time.Second))
	require.Equal(t, 3, o.byService(now + openReportLifetime)["engines"].open, "a lost host's samples go on elsewhere")
	require.Empty(t, o.byService(now+openReportLifetime+1))
	many := report("c", 1, 1)
	many.Services[0].Running = make([]openGroup, maxReportedGroups)
	require.True(t, outcome.HasReason(o.add(many, now), outcome.ReasonQueueFull))
	for i := range 2 * maxOpenReports {
		_ = o.add(report(string(rune('A'+i)), 1, -1), now)
	}
	require.Len(t, o.held, maxOpenReports)
}

// A host on which nothing runs must not send reports all the time.
func TestIdleHostIsQuiet(t *testing.T) {
	l := newReportingHosts(t, 2)
	o := l[0].scaling.reports
	o.send(l[0].Table())
	require.True(t, o.sentIdle)
	l[1].server.Close()
	o.send(l[0].Table())
	require.False(t, o.failing)
}
