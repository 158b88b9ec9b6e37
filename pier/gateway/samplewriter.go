package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/stepplan"
)

// anewReason is why a sample's text was discarded. It is also a label value.
type anewReason string

const (
	// anewUnknownSoftware means that it is not known what generated the text, anewOtherService
	// that the sample's route has moved to another service since.
	anewUnknownSoftware anewReason = "unknown-software"
	anewOtherService    anewReason = "other-service"
	// anewNoServer means that no server of the software is left, anewServersFull that none had
	// a free slot for long enough.
	anewNoServer    anewReason = "no-server"
	anewServersFull anewReason = "servers-full"
	// anewServerReplaced means that the server had started again under its id.
	anewServerReplaced anewReason = "server-replaced"
	// anewNoEvents means that a server was to continue the text and sent neither an event nor the
	// head of a stream of events.
	anewNoEvents anewReason = "no-events"
	// anewNoMemory means that the host had no memory for more of the text.
	anewNoMemory anewReason = "no-memory"
)

// hasText reports whether a part of the text was generated that a server has to continue.
func (s *sample) hasText() bool { return s.lastID > 0 && !s.complete }

// checkWriter discards a text that no server of the services can continue.
func (s *sample) checkWriter(services []string) {
	switch {
	case !s.hasText():
	case !s.writer.Known():
		s.beginAnew(anewUnknownSoftware)
	case !slices.Contains(services, s.writer.Service):
		s.beginAnew(anewOtherService)
	}
}

// givesTextUp discards the text if the sample should wait no longer for the servers that can
// continue it, and reports whether it did.
func (s *sample) givesTextUp(now time.Time) bool {
	c := stepplan.Continuation{
		Generated: s.generated, Waited: now.Sub(s.brokenAt),
		Servers: s.d.g.fleet.continuers(s.writer, s.d.step.Model, s.d.minVersion(s)),
	}
	if !c.BeginsAnew() {
		return false
	}
	why := anewServersFull
	if c.Servers == 0 {
		why = anewNoServer
	}
	s.beginAnew(why)
	return true
}

// beginAnew discards the text, so that any server may generate it from its beginning.
func (s *sample) beginAnew(why anewReason) {
	s.d.g.metrics.anew.WithLabelValues(string(why)).Inc()
	s.d.g.log.Info("sample: begins anew", zap.String("id", s.item.ID), zap.String("server", s.server),
		zap.String("reason", string(why)), zap.String("begun-by", s.writer.Version), zap.Int64("events", s.lastID),
		zap.Duration("generated", s.generated), zap.Duration("waited", time.Since(s.brokenAt)))
	s.reset()
}
