// Package gateway implements an entry host whose deployment keeps its state in a
// partitioned log: it forwards plain requests, accepts and runs the steps of trainers,
// lists their results, and orders engines to load weights.
//
// Decisions are made in packages without I/O (stepjournal, stepplan, loadplan, orderlease,
// directory, routetable); this package feeds them from sockets and timers. Every host runs
// all parts. State that must survive the loss of a host is kept in the log.
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

	"mulberrypier.example/pier/acceptretry"
	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/bytebudget"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/incarnation"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/provider"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

// OperatorRecord is the content of one record of the operators' topic: either Table is set,
// or Model and Version are.
type OperatorRecord struct {
	// Table is a new configuration.
	Table *routetable.Table
	// Version is a new version of the weights of Model.
	Model   string
	Version int64
}

// Sources names the topics that hold configurations and server registrations, and decodes
// their records.
type Sources struct {
	// Operators and Servers are keyed topics.
	Operators string
	Servers   string
	// ReadChange decodes a record of the operators' topic. ok is false for a key that the
	// gateway does not use.
	ReadChange func(key string, value []byte) (c OperatorRecord, ok bool, err error)
	// ReadServer decodes a server's registration. The key is the server's ID.
	ReadServer func(key string, value []byte) (directory.Server, error)
	// IsRenewal reports, without decoding them, whether a registration only renews the one
	// before; nil if that cannot be told.
	IsRenewal func(before, now []byte) bool
}

// EngineControl holds the control calls to engines.
type EngineControl struct {
	// Order asks a server to load a version. A nil error means that the order was accepted,
	// or that the server already has the version.
	Order func(ctx context.Context, o Order) error
	// Report asks a server for its state.
	Report func(ctx context.Context, s directory.Server) (Report, error)
}

// Order is an order to load a version of a model.
type Order struct {
	Server  directory.Server
	Model   string
	Version int64
	// Holder is the host that holds the order lease, Fence its fencing token.
	Holder string
	Fence  int64
	// Expected is the number of orders that the server must have accepted before this one.
	// A server that has accepted more rejects the order: it was delayed and others overtook
	// it.
	Expected int64
}

// Report is a server's state.
type Report struct {
	Versions map[string]int64
	// Busy is set while the server carries out an order.
	Busy bool
	// Orders is the number of orders accepted since the server's start.
	Orders int64
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Settings *Settings
	Logger   *zap.Logger
	Log      partitionlog.Log
	Dialect  backend.Dialect
	Identity backend.Identity
	Sources  Sources
	// EngineControl returns the control calls, made through the connection pool that the
	// gateway uses for all calls to backend servers.
	EngineControl func(p *backend.Pool) EngineControl
	// Provider holds the calls to the infrastructure provider; its fields are nil in deployments without them.
	Provider provider.API
	// MemoryBytes is the memory that the process may use, 0 if that is not known.
	MemoryBytes int64
	// Handler returns the handler for callers and trainers.
	Handler func(g *Gateway) http.Handler
}

// Gateway is one entry host.
type Gateway struct {
	// c is the configuration that New was given, s its settings.
	c Config
	s *Settings
	// self is this incarnation of the host, as named in the records of steps.
	self    stepjournal.Driver
	log     *zap.Logger
	metrics *metrics
	pool    *backend.Pool
	engines EngineControl
	peers   *peer.Client
	// memory bounds the bodies of requests, the beginnings of answers, the steps that run here and texts.
	memory *bytebudget.Budget
	// texts is the part of memory that the texts of samples take, and the records that wait for the journal.
	texts *bytebudget.Share
	// unread is what answers take of it whose callers read slowly.
	unread *bytebudget.Share
	// headers bounds the memory of the headers of requests.
	headers *headers

	peerLog   *peerLog
	tables    *tables
	limits    *limits
	fleet     *fleet
	ends      *serverEnds
	suspects  *suspects
	streams   *streams
	journal   *journal
	steps     *steps
	stepReads *stepReads
	preferred *preferred
	logHealth *logHealth
	// unreadable reports records of the log that cannot be read.
	unreadable *unreadable
	watch      *watch
	orders     *orders
	scaling    *scaling
	// usage is nil in deployments without usage reports.
	usage     *usageReports
	drain     *drainer
	wallClock *wallClock

	servers []*http.Server
	// listeners are those of servers.
	listeners []net.Listener
	server    *peer.Server
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// New returns a gateway that does not listen yet.
func New(c Config) *Gateway {
	s := c.Settings
	g := &Gateway{c: c, s: s, log: c.Logger, metrics: newMetrics()}
	g.self = stepjournal.Driver{Host: incarnation.NewName(s.Name), Peers: s.Listen.Peers}
	if g.c.MemoryBytes <= 0 {
		g.c.MemoryBytes = defaultMemoryBytes
	}
	g.memory = bytebudget.New(g.bodyMemory())
	g.texts = bytebudget.NewShare(bytebudget.ShareConfig{
		Budget: g.memory, Reserve: g.bodyMemory() / textReserveShare, Most: g.bodyMemory() / textMostShare,
	})
	g.unread = bytebudget.NewShare(bytebudget.ShareConfig{Budget: g.memory, Most: g.bodyMemory() / unreadShare})
	g.headers = &headers{
		memory:  bytebudget.New(g.c.MemoryBytes / headerShare),
		refused: g.metrics.refusals.WithLabelValues(string(outcome.ReasonMemory)).Inc,
	}
	g.logHealth = newLogHealth(g.log, g.metrics)
	g.unreadable = newUnreadable(g)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.pool = backend.NewPool(backend.Config{
		Dialect: c.Dialect, Identity: c.Identity, OnOpen: g.metrics.opened.Inc,
		OnLeaving: func(server string, born time.Time) { g.fleet.leaving(server, born) },
		Admit: func(ctx context.Context, q *backend.Request) (backend.Admission, error) {
			return g.limits.admit(ctx, q)
		},
		Confirm: func(ctx context.Context, q *backend.Request, at time.Time) error { return g.fleet.confirm(ctx, q, at) },
		OnLimit: func(q *backend.Request, a backend.Admission, limit []string) { g.limits.observe(q, a, limit) },
	})
	g.engines = c.EngineControl(g.pool)
	g.peers = peer.NewClient(peer.ClientConfig{})
	g.peerLog = newPeerLog(g, c.Log)
	g.c.Log = g.peerLog.functions()
	g.tables = newTables(g)
	g.limits = newLimits(g)
	g.fleet = newFleet(g)
	g.ends = newServerEnds(g)
	g.suspects = newSuspects(g)
	g.streams = newStreams(g)
	g.journal = newJournal(g)
	g.steps = newSteps(g)
	g.stepReads = newStepReads(g)
	g.preferred = newPreferred(g)
	g.watch = newWatch(g)
	if !s.Policy.OrderServers {
		g.c.Provider.SetTarget = nil
	}
	g.orders = newOrders(g)
	g.scaling = newScaling(g)
	g.usage = newUsageReports(g)
	g.drain = newDrainer(g)
	g.wallClock = newWallClock(g)
	bug.SetSink(func(i bug.Invariant, w string) {
		g.metrics.bugs.WithLabelValues(string(i)).Inc()
		g.log.Error("bug: invariant broken", zap.String("invariant", string(i)), zap.String("what", w))
	})
	return g
}

// hostID returns a name of this host that is the same for all its incarnations. It
// includes the peer address, since a replacement for a lost host may be given the same
// name.
func (g *Gateway) hostID() string { return g.s.Name + "@" + g.s.Listen.Peers.String() }

// Start opens the listeners and starts to follow the log.
func (g *Gateway) Start() error {
	l := g.s.Listen
	n, err := listen(l.Peers)
	if err != nil {
		return err
	}
	g.server = peer.NewServer(peer.ServerConfig{
		Listener: n, Handler: g.answerPeer,
		OnError: func(err error) { g.log.Warn("host: listener for peers failed; it goes on", zap.Error(err)) },
	})
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
	for _, f := range []func(){g.tables.run, g.fleet.run, g.watch.run, g.orders.run, g.preferred.reclaim, g.peerLog.run, g.suspects.run, g.wallClock.run, g.scaling.reports.run} {
		g.wg.Go(f)
	}
	if g.usage != nil {
		g.wg.Go(g.usage.run)
	}
	g.log.Info("host: started", zap.String("host", g.self.Host), zap.String("domain", g.s.Domain))
	return nil
}

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is well above the time for which callers keep idle connections, so that
	// the host does not close a connection on which a request is just being sent.
	idleTimeout = 60 * time.Second
)

func listen(a netip.AddrPort) (net.Listener, error) {
	n, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonUnreachable, "listen on "+a.String(), err)
	}
	return n, nil
}

func (g *Gateway) serve(a netip.AddrPort, h http.Handler) error {
	n, err := listen(a)
	if err != nil {
		return err
	}
	g.serveOn(n, h)
	return nil
}

// serveOn serves requests on the connections of a listener until that is closed.
func (g *Gateway) serveOn(n net.Listener, h http.Handler) {
	s := &http.Server{
		Handler: g.drain.track(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(g.log), BaseContext: func(net.Listener) context.Context { return g.drain.ctx }, ConnContext: withCallerConn,
	}
	l := acceptretry.New(acceptretry.Config{Listener: n, OnError: func(err error) {
		g.log.Warn("host: listener failed; it goes on", zap.Stringer("address", n.Addr()), zap.Error(err))
	}})
	g.headers.follow(s)
	g.servers = append(g.servers, s)
	g.listeners = append(g.listeners, l)
	g.wg.Go(func() {
		if err := s.Serve(g.headers.listener(l)); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.log.Error("host: listener failed", zap.Error(err))
		}
	})
}

// Table returns the configuration in force, or nil before the first is known.
func (g *Gateway) Table() *routetable.Table { return g.tables.current() }

// health answers the balancer's health check. It fails while the host does not know the
// configuration, is draining, or cannot reach the log, so that the balancer sends traffic
// elsewhere.
func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	if g.Table() == nil || !g.drain.healthy() || g.logHealth.silence() > logUnresponsiveAfter {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// logUnresponsiveAfter is the time without any answer from the log after which the health
// check fails: three long-poll reads.
const logUnresponsiveAfter = 3 * readWait

// Close stops the gateway at once, without draining, and waits for its goroutines.
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
