// Package daemon is the shell around the pure cores of an entry host: it feeds
// them from sockets, streams and timers and carries out what they decide.
//
// Every host runs all roles. Each role is one type of this package with its own
// lock around its core: members, notes, owners, steps, claims and calls. The
// daemon wires them together; what one role tells another goes through a method.
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

// Config constructs a Daemon.
type Config struct {
	Settings *settings.Settings
	Log      *zap.Logger
	// TLS is used between entry hosts and for operators; nil means plain TCP.
	TLS *tls.Config
	// DialPeer and DialEngine replace the opening of connections; nil means TCP.
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

// New returns a daemon that does not listen yet.
func New(c Config) *Daemon {
	s := c.Settings
	d := &Daemon{c: c, s: s, id: incarnation.Of(s.Name), metrics: newMetrics()}
	d.self = member.Member{
		ID:          d.id,
		Address:     s.Listen.Peers,
		Region:      s.Region,
		Domain:      s.Domain,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.peers = peer.NewClient(peer.ClientConfig{Dial: d.dialer()})
	d.engines = engine.New(engine.Config{Silence: s.Timing.Silence.D(), Dial: c.DialEngine})
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

// logger returns the log of one part; its name is the prefix of each line.
func (d *Daemon) logger(part string) *zap.Logger {
	return d.c.Log.Named(part).With(zap.String("host", d.s.Name))
}

// dialer returns how connections to other entry hosts are opened.
func (d *Daemon) dialer() func(context.Context, netip.AddrPort) (net.Conn, error) {
	if d.c.DialPeer != nil || d.c.TLS == nil {
		return d.c.DialPeer
	}
	return func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		t := tls.Dialer{Config: d.c.TLS}
		return t.DialContext(ctx, "tcp", a.String())
	}
}

// ID returns the id of this process among the members.
func (d *Daemon) ID() string { return d.id }

// Start opens the listeners and begins to serve. An error is an *outcome.Error
// naming the address.
func (d *Daemon) Start() error {
	l, err := d.listen(d.s.Listen.Peers, true)
	if err != nil {
		return err
	}
	d.server = peer.NewServer(peer.ServerConfig{Listener: l, Handler: d.handle, MaxConns: d.s.Limits.Connections})
	d.spawn(d.members.run)
	d.spawn(d.notes.run)
	d.spawn(d.owners.run)
	d.spawn(d.steps.run)
	d.spawn(d.claims.run)
	if err := d.serveHTTP(); err != nil {
		return err
	}
	d.logger("daemon").Info("serving", zap.String("id", d.id))
	return nil
}

// listen opens a listener, with TLS when there are keys and inner is set.
func (d *Daemon) listen(a netip.AddrPort, inner bool) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonUnreachable, "listen on "+a.String()+": "+err.Error(), err)
	}
	if inner && d.c.TLS != nil {
		l = tls.NewListener(l, d.c.TLS)
	}
	return l, nil
}

// spawn runs a part until the daemon stops.
func (d *Daemon) spawn(f func(context.Context)) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f(d.ctx)
	}()
}

// Drain is the planned stop: it refuses new work, waits for what is in flight,
// and returns when the host may end. The context's end cuts the wait short.
func (d *Daemon) Drain(ctx context.Context) { d.drain.run(ctx) }

// Close ends the daemon at once.
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

// call sends a request to the host with the given id.
func (d *Daemon) call(ctx context.Context, id string, k peer.Kind, q, r any) error {
	m, ok := d.members.get(id)
	if !ok {
		return outcome.Refuse(outcome.ReasonUnreachable, "host "+id)
	}
	return d.peers.Call(ctx, m.Address, k, q, r)
}

// handle serves the requests of other entry hosts.
func (d *Daemon) handle(ctx context.Context, r *peer.Request) (any, error) {
	switch r.Kind {
	case entryhost.Heartbeat:
		return with(r, func(q *member.Heartbeat) (any, error) { return d.members.receive(q), nil })
	case entryhost.Tail:
		return with(r, func(q *entryhost.TailRequest) (any, error) { return d.notes.tail(q.From), nil })
	case entryhost.Revision:
		return d.notes.answer(), nil
	case entryhost.StepOpen:
		return with(r, func(q *entryhost.StepOpenRequest) (any, error) { return d.steps.open(q) })
	case entryhost.StepPull:
		return with(r, func(q *entryhost.StepPullRequest) (any, error) { return d.steps.pull(ctx, q) })
	case entryhost.StepCancel:
		return with(r, func(q *entryhost.StepRequest) (any, error) { return d.steps.cancel(q.Key) })
	case entryhost.StepStatus:
		return with(r, func(q *entryhost.StepRequest) (any, error) { return d.steps.status(q.Key) })
	case entryhost.Ask:
		return with(r, func(q *entryhost.AskRequest) (any, error) { return d.steps.ask(q), nil })
	case entryhost.Sealed:
		return with(r, func(q *entryhost.SealedRequest) (any, error) { return nil, d.steps.seal(q) })
	case entryhost.Failed:
		return with(r, func(q *entryhost.FailedRequest) (any, error) { return nil, d.steps.failed(q) })
	default:
		return d.handleOwner(ctx, r)
	}
}

// handleOwner serves the requests to the roles that face backend servers.
func (d *Daemon) handleOwner(ctx context.Context, r *peer.Request) (any, error) {
	switch r.Kind {
	case entryhost.Hold:
		return with(r, func(q *entryhost.StepRequest) (any, error) { return d.owners.hold(q.Key), nil })
	case entryhost.Keep:
		return with(r, func(q *entryhost.KeepRequest) (any, error) { return nil, d.owners.keep(q) })
	case entryhost.Release:
		return with(r, func(q *entryhost.ReleaseRequest) (any, error) { return nil, d.owners.release(q) })
	case entryhost.CancelStream:
		return with(r, func(q *entryhost.CancelStreamRequest) (any, error) { return nil, d.owners.cancel(q) })
	case entryhost.Wake:
		return with(r, func(q *entryhost.WakeRequest) (any, error) { return nil, d.owners.wake(q) })
	case entryhost.Permit:
		return with(r, func(q *entryhost.PermitRequest) (any, error) { return d.owners.permit(q), nil })
	case entryhost.Chat:
		return with(r, func(q *entryhost.ChatRequest) (any, error) {
			return nil, d.owners.chat(ctx, q, func(c *engine.Chunk) error { return r.Part(c) })
		})
	case entryhost.Call:
		return with(r, func(q *entryhost.CallRequest) (any, error) { return d.claims.call(ctx, q) })
	case entryhost.Answer:
		return with(r, func(q *entryhost.AnswerRequest) (any, error) { return d.claims.kept(ctx, q) })
	case entryhost.Status:
		return d.status(), nil
	}
	return nil, outcome.Refuse(outcome.ReasonBadRequest, "unknown kind of request")
}

// with decodes a request's message and calls f with it.
func with[Q any](r *peer.Request, f func(*Q) (any, error)) (any, error) {
	var q Q
	if err := peer.Decode(r.Body, &q); err != nil {
		return nil, err
	}
	return f(&q)
}

// status returns this host at a glance.
func (d *Daemon) status() *entryhost.StatusAnswer {
	s := d.members.self()
	return &entryhost.StatusAnswer{
		Self:     s,
		State:    s.State.String(),
		Revision: d.notes.snapshot().Revision(),
		Drain:    string(d.drain.state.State()),
		Members:  len(d.members.candidates()),
		Servers:  d.owners.views(),
		Steps:    d.steps.lines(),
		Bugs:     bug.Total(),
	}
}
