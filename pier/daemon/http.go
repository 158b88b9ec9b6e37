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

	"mulberrypier.example/pier/acceptretry"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/service"
)

const (
	// headerTimeout is how long a client may take to send the headers of a request.
	headerTimeout = 5 * time.Second
	// readTimeout is how long a client may take to send a complete request.
	readTimeout = time.Minute
	// idleTimeout is how long an idle keep-alive connection is kept open.
	idleTimeout = 2 * time.Minute
	// HeaderIdempotencyKey is the header with the caller's idempotency key. The key
	// is a version 7 UUID, whose timestamp is the time at which it was issued.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the header that states how long the caller waits, such as
	// "2s".
	HeaderDeadline = "X-Deadline"
)

// Problem is the body of an error response, in the format of RFC 9457.
type Problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason"`
	RequestID string          `json:"request-id"`
}

// serveHTTP opens the listeners for callers and for operators and serves them.
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
	callerHandler, err := d.callerRoutes()
	if err != nil {
		return err
	}
	operatorHandler, err := d.operatorRoutes()
	if err != nil {
		return err
	}
	d.callers = d.newHTTPServer(callerHandler)
	d.operators = d.newHTTPServer(operatorHandler)
	go d.serve(d.callers, limitOpen(c, d.s.Limits.Connections))
	go d.serve(d.operators, limitOpen(o, d.s.Limits.Connections))
	return nil
}

// newHTTPServer returns a server with the timeouts and limits of this host.
func (d *Daemon) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    d.s.Limits.HeaderBytes,
		ErrorLog:          zap.NewStdLog(d.c.Log.Named("http")),
	}
}

// serve serves HTTP on l until the server is closed.
func (d *Daemon) serve(s *http.Server, l net.Listener) {
	r := acceptretry.New(acceptretry.Config{Listener: l, OnError: func(err error) {
		d.logger("http").Warn("listener failed; it goes on", zap.Stringer("address", l.Addr()), zap.Error(err))
	}})
	if err := s.Serve(r); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.logger("http").Error("listener failed; no more connections are accepted on it", zap.Error(err))
	}
}

// newApp returns an iris application without the startup banner and iris's own
// logging.
func newApp() *iris.Application {
	a := iris.New()
	a.Logger().SetLevel("disable")
	a.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutPathCorrectionRedirection)
	return a
}

// callerRoutes returns the HTTP interface for callers and trainers.
func (d *Daemon) callerRoutes() (http.Handler, error) {
	a := newApp()
	a.Get("/healthz", d.health)
	a.Post("/v1/chat/completions", d.handler("chat", d.chatCompletions))
	for _, m := range []string{"GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"} {
		a.Handle(m, "/v1/services/{service}/{path:path}", d.handler("call", d.callService))
	}
	t := a.Party("/v1/trainers/{trainer}")
	t.Post("/weights", d.handler("weights", d.publishWeights))
	t.Post("/steps/{step:int64}/groups", d.handler("open", d.openStep))
	t.Post("/steps/{step:int64}/pull", d.handler("pull", d.pullStep))
	t.Get("/steps/{step:int64}", d.handler("step", d.showStep))
	t.Delete("/steps/{step:int64}", d.handler("cancel", d.cancelStep))
	return a, a.Build()
}

// operatorRoutes returns the HTTP interface for operators.
func (d *Daemon) operatorRoutes() (http.Handler, error) {
	a := newApp()
	a.Get("/healthz", d.health)
	a.Get("/metrics", iris.FromStd(promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{})))
	a.Post("/v1/notes", d.handler("note", d.publishNote))
	a.Get("/v1/notes", d.handler("notes", d.listNotes))
	a.Get("/v1/notes/{id}", d.handler("note", d.showNote))
	a.Get("/v1/config", d.handler("config", d.showConfig))
	a.Get("/v1/status", d.handler("status", d.showStatus))
	a.Post("/v1/drain", d.handler("drain", d.startDrain))
	return a, a.Build()
}

// health answers the load balancer's health check. The check is the first thing to
// fail during a graceful shutdown.
func (d *Daemon) health(c iris.Context) {
	if d.drain.healthy() {
		_, _ = c.WriteString("ok\n")
		return
	}
	c.StatusCode(http.StatusServiceUnavailable)
	_, _ = c.WriteString(string(d.drain.state.State()) + "\n")
}

// handler wraps f: it counts the request, assigns it an ID unless the client sent
// one, and writes the error that f returns. While the host drains, it refuses all
// requests but those for the status.
func (d *Daemon) handler(kind string, f func(c iris.Context, id string) error) iris.Handler {
	n := d.metrics.requests.WithLabelValues(kind)
	return func(c iris.Context) {
		n.Inc()
		id := c.GetHeader(service.HeaderID)
		if id == "" || len(id) > 128 {
			id = uuid.Must(uuid.NewV7()).String()
		}
		c.Header(service.HeaderID, id)
		d.drain.inFlight.Add(1)
		defer d.drain.inFlight.Add(-1)
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

// refuse counts err and writes it as a problem document.
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

// writeJSON writes v with a Content-Length header, so that the client can detect a
// truncated response.
func writeJSON(c iris.Context, contentType string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.StatusCode(http.StatusInternalServerError)
		return
	}
	c.Header("Content-Type", contentType)
	c.Header("Content-Length", strconv.Itoa(len(b)))
	_, _ = c.Write(b)
}

// respondJSON writes v as the JSON body of the response. The error is always nil.
func respondJSON(c iris.Context, v any) error {
	writeJSON(c, "application/json", v)
	return nil
}

// readBody reads the complete body of a request. It fails with an *outcome.Error:
// too-large, or bad-request if the body ends early.
func readBody(c iris.Context) ([]byte, error) {
	b, err := io.ReadAll(c.Request().Body)
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return nil, outcome.RefuseWithCause(outcome.ReasonTooLarge, "body", err)
	}
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "body: "+err.Error(), err)
	}
	return b, nil
}

// readJSON decodes the JSON body of a request into v. It fails with an
// *outcome.Error.
func readJSON(c iris.Context, v any) error {
	b, err := readBody(c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return outcome.RefuseWithCause(outcome.ReasonBadRequest, describeJSONError(err), err)
	}
	return nil
}

// describeJSONError returns where and why decoding a JSON body failed.
func describeJSONError(err error) string {
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

// callerContext returns the request's context, limited by the deadline that the
// caller states in HeaderDeadline.
func callerContext(c iris.Context) (context.Context, context.CancelFunc, error) {
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

// idempotencyKey returns the caller's idempotency key and the time at which it was
// issued, or "" if there is none.
func idempotencyKey(c iris.Context) (string, time.Time, error) {
	k := c.GetHeader(HeaderIdempotencyKey)
	if k == "" {
		return "", time.Time{}, nil
	}
	u, err := uuid.Parse(k)
	if err != nil || u.Version() != 7 {
		return "", time.Time{}, outcome.Refuse(outcome.ReasonBadRequest,
			HeaderIdempotencyKey+": must be a UUID of version 7")
	}
	s, n := u.Time().UnixTime()
	return u.String(), time.Unix(s, n), nil
}

// callService forwards a caller's request to a plain service.
func (d *Daemon) callService(c iris.Context, id string) error {
	k, at, err := idempotencyKey(c)
	if err != nil {
		return err
	}
	ctx, cancel, err := callerContext(c)
	if err != nil {
		return err
	}
	defer cancel()
	b, err := readBody(c)
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
