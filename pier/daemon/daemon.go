// Package daemon implements the entry host process. It feeds the I/O-free state
// machines of packages member, config, owner, weights, rollout and claim from
// sockets, log streams and timers, and carries out their decisions.
//
// Every host runs all roles. Each role is one type of this package with a lock
// around its state machine: members, notes, owners, steps, claims and calls. The
// daemon wires them together; the roles exchange information through method calls
// only.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/hostlist"
	"mulberrypier.example/pier/incarnation"
	"mulberrypier.example/pier/logservice"
	"mulberrypier.example/pier/member"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/scorer"
	"mulberrypier.example/pier/service"
	"mulberrypier.example/pier/settings"
)

// Config configures a Daemon.
type Config struct {
	Settings *settings.Settings
	Log      *zap.Logger
	// TLS secures connections between entry hosts and from operators; nil means
	// plain TCP.
	TLS *tls.Config
	// DialPeer and DialEngine open connections to other entry hosts and to engines;
	// nil means TCP.
	DialPeer   func(context.Context, netip.AddrPort) (net.Conn, error)
	DialEngine func(ctx context.Context, network, address string) (net.Conn, error)
}

// Daemon is one entry host.
type Daemon struct {
	c       Config
	s       *settings.Settings
	id      string
	self    member.Member
	metrics *metrics

	peers   *peer.Client
	engines *engine.Client
	scorers *scorer.Client
	service *service.Client
	log     *logservice.Client
	hosts   *hostlist.Client

	members *members
	notes   *notes
	owners  *owners
	steps   *steps
	claims  *claims
	calls   *calls
	chats   chatPools
	drain   *drainer

	server    *peer.Server
	callers   *http.Server
	operators *http.Server
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// New returns a daemon that has not opened its listeners yet; see Start.
func New(c Config) *Daemon {
	s := c.Settings
	d := &Daemon{c: c, s: s, id: incarnation.NewName(s.Name), metrics: newMetrics()}
	d.self = member.Member{
		ID:          d.id,
		Address:     s.Listen.Peers,
		Region:      s.Region,
		Domain:      s.Domain,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.peers = peer.NewClient(peer.ClientConfig{Dial: d.dialer()})
	d.engines = engine.New(engine.Config{IdleTimeout: s.Timing.IdleTimeout.D(), Dial: c.DialEngine})
	d.scorers = scorer.New()
	d.service = service.New()
	d.log = logservice.New(logservice.Config{Address: s.Platform.Log})
	if s.Platform.Hosts.IsValid() {
		d.hosts = hostlist.New(hostlist.Config{Address: s.Platform.Hosts})
	}
	d.members = newMembers(d)
	d.notes = newNotes(d)
	d.owners = newOwners(d)
	d.steps = newSteps(d)
	d.claims = newClaims(d)
	d.calls = newCalls(d)
	d.drain = newDrainer(d)
	l := d.logger("bug")
	bug.SetSink(d.metrics.sink(func(i, s string) { l.Error("invariant broken", zap.String("invariant", i), zap.String("what", s)) }))
	return d
}

// logger returns the logger of a component, whose name is the prefix of each
// message.
func (d *Daemon) logger(component string) *zap.Logger {
	return d.c.Log.Named(component).With(zap.String("host", d.s.Name))
}

// dialer returns the function that opens connections to other entry hosts; nil
// means plain TCP.
func (d *Daemon) dialer() func(context.Context, netip.AddrPort) (net.Conn, error) {
	if d.c.DialPeer != nil || d.c.TLS == nil {
		return d.c.DialPeer
	}
	return func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		t := tls.Dialer{Config: d.c.TLS}
		return t.DialContext(ctx, "tcp", a.String())
	}
}

// ID returns the member ID of this process, which is unique to this incarnation.
func (d *Daemon) ID() string { return d.id }

// Start opens the listeners and starts the roles. It fails with an *outcome.Error
// that names the address if a listener cannot be opened.
func (d *Daemon) Start() error {
	l, err := d.listen(d.s.Listen.Peers, true)
	if err != nil {
		return err
	}
	d.server = peer.NewServer(peer.ServerConfig{
		Listener: l, Handler: d.handle, MaxConns: d.s.Limits.Connections,
		OnError: func(err error) { d.logger("peers").Warn("listener for hosts failed; it goes on", zap.Error(err)) },
	})
	d.startRole(d.members.run)
	d.startRole(d.notes.run)
	d.startRole(d.owners.run)
	d.startRole(d.steps.run)
	d.startRole(d.claims.run)
	if err := d.serveHTTP(); err != nil {
		return err
	}
	d.logger("daemon").Info("serving", zap.String("id", d.id))
	return nil
}

// listen opens a listener on a. It is wrapped in TLS if useTLS is set and a TLS
// configuration exists.
func (d *Daemon) listen(a netip.AddrPort, useTLS bool) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonUnreachable, "listen on "+a.String()+": "+err.Error(), err)
	}
	if useTLS && d.c.TLS != nil {
		l = tls.NewListener(l, d.c.TLS)
	}
	return l, nil
}

// startRole runs f in a goroutine with a context that ends when the daemon is
// closed. Close waits for f to return.
func (d *Daemon) startRole(f func(context.Context)) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f(d.ctx)
	}()
}

// every calls f at each interval until ctx is done.
func every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	k := time.NewTicker(interval)
	defer k.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-k.C:
			f(now)
		}
	}
}

// Drain shuts the host down gracefully: it refuses new work, waits until no work is
// in flight and returns when the process may exit. The wait ends early when ctx is
// done.
func (d *Daemon) Drain(ctx context.Context) { d.drain.run(ctx) }

// Close stops the daemon immediately, without draining, and waits for its
// goroutines.
func (d *Daemon) Close() {
	d.cancel()
	if d.callers != nil {
		_ = d.callers.Close()
	}
	if d.operators != nil {
		_ = d.operators.Close()
	}
	if d.server != nil {
		d.server.Close()
	}
	d.peers.Close()
	d.wg.Wait()
}

// call sends a request to the host with the given member ID and decodes the answer
// into r. It fails with the reason unreachable if the host is not a known member.
func (d *Daemon) call(ctx context.Context, id string, k peer.Kind, q, r any) error {
	m, ok := d.members.get(id)
	if !ok {
		return outcome.Refuse(outcome.ReasonUnreachable, "host "+id)
	}
	return d.peers.Call(ctx, m.Address, k, q, r)
}

// handle dispatches a request of another entry host.
func (d *Daemon) handle(ctx context.Context, r *peer.Request) (any, error) {
	switch r.Kind {
	case entryhost.Heartbeat:
		return handleAs(r, func(q *member.Heartbeat) (any, error) { return d.members.receiveHeartbeat(q), nil })
	case entryhost.FetchNotes:
		return handleAs(r, func(q *entryhost.FetchNotesRequest) (any, error) { return d.notes.recordsFrom(q.From), nil })
	case entryhost.Revision:
		return d.notes.revisionAnswer(), nil
	case entryhost.StepOpen:
		return handleAs(r, func(q *entryhost.StepOpenRequest) (any, error) { return d.steps.open(q) })
	case entryhost.StepPull:
		return handleAs(r, func(q *entryhost.StepPullRequest) (any, error) { return d.steps.pull(ctx, q) })
	case entryhost.StepCancel:
		return handleAs(r, func(q *entryhost.StepRequest) (any, error) { return d.steps.cancel(q.Key) })
	case entryhost.StepStatus:
		return handleAs(r, func(q *entryhost.StepRequest) (any, error) { return d.steps.status(q.Key) })
	case entryhost.Offer:
		return handleAs(r, func(q *entryhost.OfferRequest) (any, error) { return d.steps.assign(q), nil })
	case entryhost.DeliverSamples:
		return handleAs(r, func(q *entryhost.DeliverSamplesRequest) (any, error) { return nil, d.steps.seal(q) })
	case entryhost.StreamFailed:
		return handleAs(r, func(q *entryhost.StreamFailedRequest) (any, error) { return nil, d.steps.streamFailed(q) })
	default:
		return d.handleOwner(ctx, r)
	}
}

// handleOwner dispatches the requests to the roles that talk to backend servers.
func (d *Daemon) handleOwner(ctx context.Context, r *peer.Request) (any, error) {
	switch r.Kind {
	case entryhost.ListHeld:
		return handleAs(r, func(q *entryhost.StepRequest) (any, error) { return d.owners.holdings(q.Key), nil })
	case entryhost.HandOver:
		return handleAs(r, func(q *entryhost.HandOverRequest) (any, error) { return nil, d.owners.acceptHandover(q) })
	case entryhost.ReleaseSamples:
		return handleAs(r, func(q *entryhost.ReleaseSamplesRequest) (any, error) { return nil, d.owners.releaseSamples(q) })
	case entryhost.CancelStream:
		return handleAs(r, func(q *entryhost.CancelStreamRequest) (any, error) { return nil, d.owners.cancelStream(q) })
	case entryhost.Wake:
		return handleAs(r, func(q *entryhost.WakeRequest) (any, error) { return nil, d.owners.handleWake(q) })
	case entryhost.LoadPermit:
		return handleAs(r, func(q *entryhost.LoadPermitRequest) (any, error) { return d.owners.grantPermit(q), nil })
	case entryhost.Chat:
		return handleAs(r, func(q *entryhost.ChatRequest) (any, error) {
			return nil, d.owners.runChat(ctx, q, func(c *engine.Chunk) error { return r.SendPart(c) })
		})
	case entryhost.Call:
		return handleAs(r, func(q *entryhost.CallRequest) (any, error) { return d.claims.call(ctx, q) })
	case entryhost.FetchAnswer:
		return handleAs(r, func(q *entryhost.FetchAnswerRequest) (any, error) { return d.claims.storedAnswer(ctx, q) })
	case entryhost.Status:
		return d.status(), nil
	}
	return nil, outcome.Refuse(outcome.ReasonBadRequest, "unknown kind of request")
}

// handleAs decodes the body of a request as a Q and passes it to f.
func handleAs[Q any](r *peer.Request, f func(*Q) (any, error)) (any, error) {
	var q Q
	if err := peer.Decode(r.Body, &q); err != nil {
		return nil, err
	}
	return f(&q)
}

// status returns a summary of this host's state.
func (d *Daemon) status() *entryhost.StatusAnswer {
	s := d.members.self()
	return &entryhost.StatusAnswer{
		Self:     s,
		State:    s.State.String(),
		Revision: d.notes.snapshot().Revision(),
		Drain:    string(d.drain.state.State()),
		Members:  len(d.members.candidates()),
		Servers:  d.owners.serverStatuses(),
		Steps:    d.steps.summaries(),
		Bugs:     bug.Total(),
	}
}
