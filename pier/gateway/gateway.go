// Package gateway is the shell of an entry host whose deployment keeps its state
// in a partitioned log: it forwards plain requests, takes and runs the steps of
// trainers, lists their results, and orders engines to load weights.
//
// Decisions are made in pure packages (stepjournal, stepplan, loadplan,
// orderlease, directory, routetable); this package feeds them from sockets and
// timers. Every host runs all parts. What must outlast a host is in the log.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/incarnation"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

// Change is what one record of the operators' topic says; one field is set.
type Change struct {
	// Table is a new configuration.
	Table *routetable.Table
	// Model has a new Version.
	Model   string
	Version int64
}

// Sources tells where configurations and registrations stand, and reads them.
type Sources struct {
	// Operators and Servers are keyed topics.
	Operators string
	Servers   string
	// ReadChange reads a record of the operators' topic; ok is false for a key that
	// is of no interest.
	ReadChange func(key string, value []byte) (c Change, ok bool, err error)
	ReadServer func(key string, value []byte) (directory.Server, error)
}

// Engines is the seam to the control calls of engines.
type Engines struct {
	// Order asks a server to load a version. A nil error means that the order was
	// taken or already holds.
	Order func(ctx context.Context, o Order) error
	// Report asks a server for its state.
	Report func(ctx context.Context, s directory.Server) (Report, error)
}

// Order is an order to load a version of a model.
type Order struct {
	Server  directory.Server
	Model   string
	Version int64
	// Holder and Fence name the term under which the order is given.
	Holder string
	Fence  int64
	// Expected is the number of orders that the server must have accepted before.
	Expected int64
}

// Report is a server's state.
type Report struct {
	Versions map[string]int64
	// Busy servers carry out an order.
	Busy bool
	// Orders is the number of orders accepted since the start.
	Orders int64
}

// Config constructs a Gateway.
type Config struct {
	Settings *Settings
	Zap      *zap.Logger
	Log      partitionlog.Log
	Dialect  backend.Dialect
	Sources  Sources
	// Engines is made from the pool that the gateway uses for all calls.
	Engines func(p *backend.Pool) Engines
	// Handler serves callers and trainers.
	Handler func(g *Gateway) http.Handler
}

// Gateway is one entry host.
type Gateway struct {
	c       Config
	s       *Settings
	self    stepjournal.Driver
	log     *zap.Logger
	metrics *metrics
	pool    *backend.Pool
	engines Engines
	peers   *peer.Client

	tables    *tables
	fleet     *fleet
	journal   *journal
	steps     *steps
	preferred *preferred
	logHealth *logHealth
	watch     *watch
	orders    *orders
	drain     *drainer

	servers []*http.Server
	server  *peer.Server
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a gateway that does not listen yet.
func New(c Config) *Gateway {
	s := c.Settings
	g := &Gateway{c: c, s: s, log: c.Zap, metrics: newMetrics()}
	g.self = stepjournal.Driver{Host: incarnation.Of(s.Name), Peers: s.Listen.Peers}
	g.logHealth = newLogHealth(g.log, g.metrics)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.pool = backend.NewPool(backend.Config{Dialect: c.Dialect, Opened: g.metrics.opened.Inc})
	g.engines = c.Engines(g.pool)
	g.peers = peer.NewClient(peer.ClientConfig{})
	g.tables = newTables(g)
	g.fleet = newFleet(g)
	g.journal = newJournal(g)
	g.steps = newSteps(g)
	g.preferred = newPreferred(g)
	g.watch = newWatch(g)
	g.orders = newOrders(g)
	g.drain = newDrainer(g)
	bug.SetSink(func(i bug.Invariant, w string) {
		g.metrics.bugs.WithLabelValues(string(i)).Inc()
		g.log.Error("bug: invariant broken", zap.String("invariant", string(i)), zap.String("what", w))
	})
	return g
}

// machine names this host whatever incarnation of it runs: a name alone may be given
// to a host that stands in for another.
func (g *Gateway) machine() string { return g.s.Name + "@" + g.s.Listen.Peers.String() }

// Start listens and begins to follow the log.
func (g *Gateway) Start() error {
	l := g.s.Listen
	n, err := listen(l.Peers)
	if err != nil {
		return err
	}
	g.server = peer.NewServer(peer.ServerConfig{Listener: n, Handler: g.answerPeer})
	if err := g.serve(l.Callers, g.c.Handler(g)); err != nil {
		return err
	}
	if err := g.serve(l.Health, http.HandlerFunc(g.health)); err != nil {
		return err
	}
	if l.Metrics.IsValid() {
		if err := g.serve(l.Metrics, g.metrics.handler()); err != nil {
			return err
		}
	}
	for _, f := range []func(){g.tables.run, g.fleet.run, g.watch.run, g.orders.run, g.preferred.reclaim} {
		g.wg.Go(f)
	}
	g.log.Info("host: started", zap.String("host", g.self.Host), zap.String("domain", g.s.Domain))
	return nil
}

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is well above the time that callers let a connection rest, so that
	// no request crosses the closing of its connection.
	idleTimeout = 60 * time.Second
)

func listen(a netip.AddrPort) (net.Listener, error) {
	n, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonUnreachable, "listen on "+a.String(), err)
	}
	return n, nil
}

func (g *Gateway) serve(a netip.AddrPort, h http.Handler) error {
	n, err := listen(a)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: zap.NewStdLog(g.log)}
	g.servers = append(g.servers, s)
	g.wg.Go(func() {
		if err := s.Serve(n); err != nil && !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("host: listener ended", zap.Error(err))
		}
	})
	return nil
}

// Table returns the configuration in force, or nil before the first is known.
func (g *Gateway) Table() *routetable.Table { return g.tables.current() }

// health answers the balancer. A host that does not know the configuration, is
// about to stop, or cannot reach the log asks for its traffic to go elsewhere.
func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	if g.Table() == nil || !g.drain.healthy() || g.logHealth.silence() > logUnresponsiveAfter {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// logSilent is how long the log may give no answer before this host counts it as
// out of reach: three long reads.
const logUnresponsiveAfter = 3 * readWait

// Close stops everything at once.
func (g *Gateway) Close() {
	g.cancel()
	for _, s := range g.servers {
		_ = s.Close()
	}
	if g.server != nil {
		g.server.Close()
	}
	g.peers.Close()
	g.wg.Wait()
	g.log.Info("host: stopped", zap.String("host", g.self.Host))
}
