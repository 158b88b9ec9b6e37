package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/capacityplan"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/routetable"
)

// Each host tells the holder of the order lease what it runs, and which samples of its steps wait. A report
// replaces the one before it, so that a repeated one does no harm.

const (
	// openReportInterval is the time between two reports of a host, openReportTimeout limits the time of one.
	openReportInterval = 500 * time.Millisecond
	openReportTimeout  = 250 * time.Millisecond
	// openReportLifetime is how long a report counts. It covers a link that fails for some seconds, in which the
	// servers must not be taken for idle. The samples of a lost host count twice for as long.
	openReportLifetime = 10 * time.Second
	// maxOpenReports bounds the hosts whose reports are kept, maxReportedGroups the groups of servers of each.
	maxOpenReports    = 1000
	maxReportedGroups = 1000
)

// kindOpenSamples is the kind of a message that tells the holder of the order lease what a host runs. Its body is
// an openReport.
const kindOpenSamples = kindUsage + 1

// openReport is what one host runs.
type openReport struct {
	Host string `msgpack:"h"`
	// Number grows with each report of a host.
	Number   int64         `msgpack:"n"`
	Services []openService `msgpack:"s"`
	// PassOn asks the receiver to pass the report on to the holder.
	PassOn bool `msgpack:"p,omitempty"`
}

// openService is what a host runs at the servers of a service.
type openService struct {
	Service string `msgpack:"s"`
	// Waiting is the number of samples that wait, LargestStep that of all samples of the largest open step.
	Waiting     int `msgpack:"w,omitempty"`
	LargestStep int `msgpack:"l,omitempty"`
	// Running holds what runs at servers that take work, Leaving is what runs at those that leave. Samples, plain
	// requests and streams count alike, as each takes a slot.
	Running []openGroup `msgpack:"r,omitempty"`
	Leaving int         `msgpack:"e,omitempty"`
}

// openGroup is what runs at the servers of a group.
type openGroup struct {
	Domain      string `msgpack:"d"`
	Reclaimable bool   `msgpack:"k,omitempty"`
	Running     int    `msgpack:"n"`
}

// idle reports whether nothing waits or runs.
func (s *openService) idle() bool {
	return s.Waiting == 0 && s.Leaving == 0 && s.LargestStep == 0 && len(s.Running) == 0
}

// openDemand is the demand for a service of all hosts.
type openDemand struct {
	open, largestStep int
	running           map[capacityplan.Group]int
}

// heldReport is a report that counts until a time since boot.
type heldReport struct {
	openReport
	until time.Duration
}

// openReports sends the reports of this host, and holds those that it has received. It is safe for concurrent
// use.
type openReports struct {
	g *Gateway
	// number is that of the last report; sentIdle is set if that has arrived and said that nothing runs, failing if
	// it has not arrived. They belong to the goroutine of run.
	number            int64
	sentIdle, failing bool

	mu   sync.Mutex
	held map[string]heldReport
}

func newOpenReports(g *Gateway) *openReports {
	return &openReports{g: g, held: make(map[string]heldReport)}
}

// run sends reports until the host stops.
func (o *openReports) run() {
	for backoff.Sleep(o.g.ctx, openReportInterval) {
		if t := o.g.Table(); t != nil && o.g.scaling.enabled() {
			o.send(t)
		}
	}
}

// send sends one report, unless nothing runs and the holder knows that.
func (o *openReports) send(t *routetable.Table) {
	o.number++
	r := openReport{Host: o.g.self.Host, Number: o.number, Services: o.g.openServices(t)}
	idle := len(r.Services) == 0
	if idle && o.sentIdle {
		return
	}
	err := o.deliver(r)
	o.sentIdle = idle && err == nil
	if err != nil && !o.failing {
		o.g.log.Info("scaling: holder of the order lease could not be told what runs here", zap.Error(err))
	}
	o.failing = err != nil
}

// deliver sends a report to the holder, through a peer if the holder does not answer.
func (o *openReports) deliver(r openReport) error {
	err := o.deliverDirectly(r)
	if err == nil || outcome.HasReason(err, outcome.ReasonNotOwner) {
		return err
	}
	a, ok := o.g.peerLog.nextPeer()
	if !ok {
		return err
	}
	r.PassOn = true
	return o.call(a, &r)
}

func (o *openReports) deliverDirectly(r openReport) error {
	holder := o.g.orders.notices.leaseHolder()
	if holder == o.g.hostID() {
		return o.add(r, boottime.Now())
	}
	a, ok := peerAddress(holder)
	if !ok {
		return outcome.Refuse(outcome.ReasonNotOwner, "no holder of the order lease")
	}
	return o.call(a, &r)
}

func (o *openReports) call(a netip.AddrPort, r *openReport) error {
	ctx, cancel := context.WithTimeout(o.g.ctx, openReportTimeout)
	defer cancel()
	o.g.peerLog.keepOpen(a, boottime.Now())
	return o.g.peers.Call(ctx, a, kindOpenSamples, r, nil)
}

// answer takes the report of another host, if this one holds the order lease, or passes it on if it is asked to.
func (o *openReports) answer(q *peer.Request) (any, error) {
	var r openReport
	if err := peer.Decode(q.Body, &r); err != nil {
		return nil, err
	}
	if !r.PassOn && o.g.orders.notices.leaseHolder() != o.g.hostID() {
		return nil, outcome.Refuse(outcome.ReasonNotOwner, "order lease")
	}
	r.PassOn = false
	return nil, o.deliverDirectly(r)
}

// add replaces the report of a host, unless it is older.
func (o *openReports) add(r openReport, now time.Duration) error {
	groups := 0
	for _, s := range r.Services {
		groups += 1 + len(s.Running)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.held, func(_ string, h heldReport) bool { return now > h.until })
	before, known := o.held[r.Host]
	if groups > maxReportedGroups || !known && len(o.held) >= maxOpenReports {
		return outcome.Refuse(outcome.ReasonQueueFull, "reports of open samples")
	}
	if !known || before.Number < r.Number {
		o.held[r.Host] = heldReport{openReport: r, until: now + openReportLifetime}
	}
	return nil
}

// byService returns the demand by service.
func (o *openReports) byService(now time.Duration) map[string]openDemand {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := make(map[string]openDemand)
	for _, h := range o.held {
		if now > h.until {
			continue
		}
		for _, s := range h.Services {
			d := r[s.Service]
			if d.running == nil {
				d.running = make(map[capacityplan.Group]int)
			}
			d.add(s)
			r[s.Service] = d
		}
	}
	return r
}

// add adds what a host runs.
func (d *openDemand) add(s openService) {
	d.open += max(s.Waiting, 0) + max(s.Leaving, 0)
	d.largestStep = max(d.largestStep, s.LargestStep)
	for _, g := range s.Running {
		n := max(g.Running, 0)
		d.open += n
		d.running[capacityplan.Group{Domain: g.Domain, Reclaimable: g.Reclaimable}] += n
	}
}

// openServices returns what this host runs at the servers of the services that are scaled, as far as it runs
// anything.
func (g *Gateway) openServices(t *routetable.Table) []openService {
	var l []openService
	for _, x := range scaledServices(t) {
		s := openService{Service: x.Name}
		s.Running, s.Leaving = g.fleet.ownRunning(x.Name)
		l = append(l, s)
	}
	// This follows the servers, so that a sample that starts meanwhile does not count twice.
	waiting, largest := g.steps.open()
	for i := range l {
		l[i].Waiting, l[i].LargestStep = waiting[l[i].Service], largest[l[i].Service]
	}
	return slices.DeleteFunc(l, func(s openService) bool { return s.idle() })
}

// ownRunning returns the number of requests that this host has at the servers of a service: by group at those that
// take work, and at those that leave.
func (f *fleet) ownRunning(service string) (l []openGroup, leaving int) {
	running := make(map[capacityplan.Group]int)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.byService[service] {
		n := f.states[s.ID].running
		switch {
		case n == 0:
		case s.Leaving:
			leaving += n
		default:
			running[capacityplan.Group{Domain: s.Domain, Reclaimable: s.Reclaimable}] += n
		}
	}
	for k, n := range running {
		l = append(l, openGroup{Domain: k.Domain, Reclaimable: k.Reclaimable, Running: n})
	}
	return l, leaving
}
