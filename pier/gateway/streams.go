package gateway

import (
	"go.uber.org/zap"

	"mulberrypier.example/pier/directory"
)

// continuedAt labels a continuation by what began the stream and what continues it.
func continuedAt(writer, runs directory.Software) string {
	switch {
	case !writer.Known() || !runs.Known():
		return "unknown"
	case writer == runs:
		return "same"
	}
	return "other"
}

// logStream logs which server answers a caller's stream, and which stream that continues.
func (g *Gateway) logStream(c *Call, a *Answer) {
	resumes := c.Header.Get(g.c.Dialect.Resumes)
	if resumes != "" {
		g.metrics.continued.WithLabelValues("call", continuedAt(directory.Software{}, a.Server.Runs())).Inc()
	}
	g.log.Info("stream: answered", zap.String("id", c.ID), zap.String("server", a.Server.ID),
		zap.String("software", a.Server.Software), zap.Int("status", a.Status), zap.String("resumes", resumes),
		zap.String("after-event", c.Header.Get(g.c.Dialect.ResumeAfter)))
}
