package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/service"
)

const (
	// headerTimeout is how long a caller may take to send a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout is how long a caller may take to send a request whole.
	bodyTimeout = time.Minute
	// idleTimeout is how long a connection without a request is kept.
	idleTimeout = 2 * time.Minute
	// HeaderKey carries a caller's idempotency key, a UUID of version 7, whose
	// time is when the key was issued.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline carries how long a caller waits, such as "2s".
	HeaderDeadline = "X-Deadline"
)

// Problem is the body of a refusal, in the form of RFC 9457.
type Problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason"`
	RequestID string          `json:"request-id"`
}

// serveHTTP opens the listeners for callers and for operators.
func (d *Daemon) serveHTTP() error {
	c, err := d.listen(d.s.Listen.Callers, false)
	if err != nil {
		return err
	}
	o, err := d.listen(d.s.Listen.Operators, true)
	if err != nil {
		_ = c.Close()
		return err
	}
	ca, err := d.callerRoutes()
	if err != nil {
		return err
	}
	oa, err := d.operatorRoutes()
	if err != nil {
		return err
	}
	d.callers = d.newServer(ca)
	d.operators = d.newServer(oa)
	go d.serve(d.callers, limitConns(c, d.s.Limits.Connections))
	go d.serve(d.operators, limitConns(o, d.s.Limits.Connections))
	return nil
}

func (d *Daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    d.s.Limits.HeaderBytes,
		ErrorLog:          zap.NewStdLog(d.c.Log.Named("http")),
	}
}

func (d *Daemon) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.logger("http").Error("listener ended", zap.Error(err))
	}
}

// newApp returns an iris application without its banner and its own log.
func newApp() *iris.Application {
	a := iris.New()
	a.Logger().SetLevel("disable")
	a.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutPathCorrectionRedirection)
	return a
}

// callerRoutes returns the interface for callers and trainers.
func (d *Daemon) callerRoutes() (http.Handler, error) {
	a := newApp()
	a.Get("/healthz", d.health)
	a.Post("/v1/chat/completions", d.handled("chat", d.chatCompletions))
	for _, m := range []string{"GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"} {
		a.Handle(m, "/v1/services/{service}/{path:path}", d.handled("call", d.callService))
	}
	t := a.Party("/v1/trainers/{trainer}")
	t.Post("/weights", d.handled("weights", d.publishWeights))
	t.Post("/steps/{step:int64}/groups", d.handled("open", d.openStep))
	t.Post("/steps/{step:int64}/pull", d.handled("pull", d.pullStep))
	t.Get("/steps/{step:int64}", d.handled("step", d.showStep))
	t.Delete("/steps/{step:int64}", d.handled("cancel", d.cancelStep))
	return a, a.Build()
}

// operatorRoutes returns the interface for operators.
func (d *Daemon) operatorRoutes() (http.Handler, error) {
	a := newApp()
	a.Get("/healthz", d.health)
	a.Get("/metrics", iris.FromStd(promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{})))
	a.Post("/v1/notes", d.handled("note", d.publishNote))
	a.Get("/v1/notes", d.handled("notes", d.listNotes))
	a.Get("/v1/notes/{id}", d.handled("note", d.showNote))
	a.Get("/v1/config", d.handled("config", d.showConfig))
	a.Get("/v1/status", d.handled("status", d.showStatus))
	a.Post("/v1/drain", d.handled("drain", d.startDrain))
	return a, a.Build()
}

// health is the balancer's check: it fails first on a planned stop.
func (d *Daemon) health(c iris.Context) {
	if d.drain.healthy() {
		_, _ = c.WriteString("ok\n")
		return
	}
	c.StatusCode(http.StatusServiceUnavailable)
	_, _ = c.WriteString(string(d.drain.state.State()) + "\n")
}

// handled counts a request, gives it an id, and writes the error that f returns.
func (d *Daemon) handled(kind string, f func(c iris.Context, id string) error) iris.Handler {
	n := d.metrics.requests.WithLabelValues(kind)
	return func(c iris.Context) {
		n.Inc()
		id := c.GetHeader(service.HeaderID)
		if id == "" || len(id) > 128 {
			id = uuid.Must(uuid.NewV7()).String()
		}
		c.Header(service.HeaderID, id)
		d.drain.inflight.Add(1)
		defer d.drain.inflight.Add(-1)
		if d.drain.stopping() && kind != "status" {
			d.refuse(c, kind, id, outcome.Refuse(outcome.ReasonDraining, d.s.Name).After(time.Second))
			return
		}
		c.SetMaxRequestBodySize(d.s.Limits.BodyBytes)
		if err := f(c, id); err != nil {
			d.refuse(c, kind, id, err)
		}
	}
}

// refuse writes a typed refusal.
func (d *Daemon) refuse(c iris.Context, kind, id string, err error) {
	e := d.metrics.refuse(kind, err)
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	c.StatusCode(e.Status())
	writeJSON(c, "application/problem+json", &Problem{
		Type:      "about:blank",
		Title:     string(e.Reason),
		Status:    e.Status(),
		Detail:    e.Detail,
		Outcome:   e.Outcome,
		Reason:    e.Reason,
		RequestID: id,
	})
}

// writeJSON writes v with a stated length, so that a cut answer is seen as one.
func writeJSON(c iris.Context, kind string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.StatusCode(http.StatusInternalServerError)
		return
	}
	c.Header("Content-Type", kind)
	c.Header("Content-Length", strconv.Itoa(len(b)))
	_, _ = c.Write(b)
}

func answerJSON(c iris.Context, v any) error {
	writeJSON(c, "application/json", v)
	return nil
}

// body reads a request's body whole. Errors are *outcome.Error: too-large, or
// bad-request for one that ended early.
func body(c iris.Context) ([]byte, error) {
	b, err := io.ReadAll(c.Request().Body)
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return nil, outcome.RefuseFor(outcome.ReasonTooLarge, "body", err)
	}
	if err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonBadRequest, "body: "+err.Error(), err)
	}
	return b, nil
}

// readJSON reads a request's body into v. Errors are *outcome.Error.
func readJSON(c iris.Context, v any) error {
	b, err := body(c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return outcome.RefuseFor(outcome.ReasonBadRequest, jsonPlace(err), err)
	}
	return nil
}

// jsonPlace names where a JSON body is wrong.
func jsonPlace(err error) string {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return "body: field " + t.Field + ": a " + t.Value + " is of the wrong type"
	}
	var s *json.SyntaxError
	if errors.As(err, &s) {
		return "body: byte " + strconv.FormatInt(s.Offset, 10) + ": " + s.Error()
	}
	return "body: " + err.Error()
}

// deadline returns the request's context with the caller's deadline.
func deadline(c iris.Context) (context.Context, context.CancelFunc, error) {
	h := c.GetHeader(HeaderDeadline)
	if h == "" {
		ctx, cancel := context.WithCancel(c.Request().Context())
		return ctx, cancel, nil
	}
	t, err := time.ParseDuration(h)
	if err != nil || t <= 0 {
		return nil, nil, outcome.Refuse(outcome.ReasonBadRequest, HeaderDeadline+": must be a duration such as 2s")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), t)
	return ctx, cancel, nil
}

// key returns the caller's idempotency key and when it was issued.
func key(c iris.Context) (string, time.Time, error) {
	k := c.GetHeader(HeaderKey)
	if k == "" {
		return "", time.Time{}, nil
	}
	u, err := uuid.Parse(k)
	if err != nil || u.Version() != 7 {
		return "", time.Time{}, outcome.Refuse(outcome.ReasonBadRequest, HeaderKey+": must be a UUID of version 7")
	}
	s, n := u.Time().UnixTime()
	return u.String(), time.Unix(s, n), nil
}

// callService passes a caller's request to a plain service.
func (d *Daemon) callService(c iris.Context, id string) error {
	k, at, err := key(c)
	if err != nil {
		return err
	}
	ctx, cancel, err := deadline(c)
	if err != nil {
		return err
	}
	defer cancel()
	b, err := body(c)
	if err != nil {
		return err
	}
	p := "/" + c.Params().Get("path")
	if q := c.Request().URL.RawQuery; q != "" {
		p += "?" + q
	}
	a, err := d.calls.serve(ctx, &entryhost.CallRequest{
		Service: c.Params().Get("service"), Key: k, Issued: at, ID: id,
		Method: c.Method(), Path: p, ContentType: c.GetHeader("Content-Type"), Body: b,
	})
	if err != nil {
		return err
	}
	c.StatusCode(a.Status)
	if a.ContentType != "" {
		c.Header("Content-Type", a.ContentType)
	}
	c.Header("Content-Length", strconv.Itoa(len(a.Body)))
	_, _ = c.Write(a.Body)
	return nil
}
