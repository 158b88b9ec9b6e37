package scenario_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/mulberrybench/internal/cluster"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/settings"
)

// TestBadInput sends malformed requests. Each must be refused as not run, with a reason
// and the position of the error, and the service must execute nothing.
func TestBadInput(t *testing.T) {
	k := newSmallCluster(t, func(c *cluster.Config) {
		c.AdjustSettings = func(s *settings.Settings) { s.Limits.BodyBytes = 4096 }
	})
	h := k.Up()[0].Settings.Listen
	open := "/v1/trainers/thaw/steps/1/groups"
	for name, x := range map[string]struct {
		operator           bool
		method, path, body string
		header             [2]string
		reason             outcome.Reason
		detail             string
	}{
		"service unknown":    {method: "POST", path: "/v1/services/none/x", reason: outcome.ReasonUnknownName, detail: "service/none"},
		"body too large":     {method: "POST", path: "/v1/services/registry/x", body: strings.Repeat("x", 5000), reason: outcome.ReasonTooLarge, detail: "body"},
		"key is no UUID":     {method: "POST", path: "/v1/services/registry/x", header: [2]string{"Idempotency-Key", "mine"}, reason: outcome.ReasonBadRequest, detail: "Idempotency-Key"},
		"key has no time":    {method: "POST", path: "/v1/services/registry/x", header: [2]string{"Idempotency-Key", "f47ac10b-58cc-4372-a567-0e02b2c3d479"}, reason: outcome.ReasonBadRequest, detail: "version 7"},
		"bad deadline":       {method: "POST", path: "/v1/services/registry/x", header: [2]string{"X-Deadline", "soon"}, reason: outcome.ReasonBadRequest, detail: "X-Deadline"},
		"step not JSON":      {method: "POST", path: open, body: "{", reason: outcome.ReasonBadRequest, detail: "byte 1"},
		"step of wrong type": {method: "POST", path: open, body: `{"groups":7}`, reason: outcome.ReasonBadRequest, detail: "field groups"},
		"group out of range": {method: "POST", path: open, body: `{"groups":[{"first":-1,"samples":1,"prompt":"p","max-tokens":1}]}`, reason: outcome.ReasonBadRequest, detail: "first is out of range"},
		"trainer unknown":    {method: "POST", path: "/v1/trainers/none/steps/1/groups", body: `{}`, reason: outcome.ReasonUnknownName, detail: "trainer/none"},
		"pull of no step":    {method: "POST", path: "/v1/trainers/thaw/steps/99/pull", body: `{}`, reason: outcome.ReasonUnknownStep, detail: "thaw/99"},
		"version missing":    {method: "POST", path: "/v1/trainers/thaw/weights", body: `{}`, reason: outcome.ReasonBadRequest, detail: "version"},
		"chat without model": {method: "POST", path: "/v1/chat/completions", body: `{"messages":[{"role":"user","content":"x"}]}`, reason: outcome.ReasonBadRequest, detail: "model"},
		"chat without text":  {method: "POST", path: "/v1/chat/completions", body: `{"model":"ledger"}`, reason: outcome.ReasonBadRequest, detail: "messages"},
		"chat model unknown": {method: "POST", path: "/v1/chat/completions", body: `{"model":"none","messages":[{"role":"user","content":"x"}]}`, reason: outcome.ReasonUnknownName, detail: "deployment/none"},
		"note not TOML":      {operator: true, method: "POST", path: "/v1/notes", body: "id = ", reason: outcome.ReasonBadRequest, detail: "line 1"},
		"note unknown":       {operator: true, method: "GET", path: "/v1/notes/none", reason: outcome.ReasonUnknownName, detail: "note/none"},
	} {
		t.Run(name, func(t *testing.T) {
			a := h.Callers
			if x.operator {
				a = h.Operators
			}
			q, err := http.NewRequestWithContext(t.Context(), x.method, "http://"+a.String()+x.path, strings.NewReader(x.body))
			require.NoError(t, err)
			if x.header[0] != "" {
				q.Header.Set(x.header[0], x.header[1])
			}
			r, err := http.DefaultClient.Do(q)
			require.NoError(t, err)
			defer r.Body.Close()
			b, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			var e outcome.Error
			require.NoError(t, json.Unmarshal(b, &e), "%s", b)
			require.Equal(t, x.reason, e.Reason, "%s", b)
			require.Equal(t, outcome.NotRun, e.Outcome)
			require.Contains(t, e.Detail, x.detail)
			require.Equal(t, r.Header.Get("X-Request-Id"), e.RequestID)
			require.NotEmpty(t, e.RequestID)
		})
	}
	_, n := k.Executed.Max()
	require.Zero(t, n)
}

// TestTruncated sends a request whose body is shorter than its Content-Length. The
// service must not execute it.
func TestTruncated(t *testing.T) {
	k := newSmallCluster(t, nil)
	c, err := net.DialTimeout("tcp", k.Callers()[0].String(), time.Second)
	require.NoError(t, err)
	_, err = io.WriteString(c, "POST /v1/services/registry/reprints HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nonly this")
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	require.NotContains(t, string(b), " 200 ")
	require.NoError(t, c.Close())
	_, n := k.Executed.Max()
	require.Zero(t, n)
}
