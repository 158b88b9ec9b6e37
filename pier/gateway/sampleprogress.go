package gateway

import (
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/stepjournal"
)

const (
	// saveInterval is the time between two records of a long sample's progress: what is
	// generated in between is lost if the host is. The interval is shorter during a drain,
	// after which another host continues the sample.
	saveInterval      = 2 * time.Second
	drainSaveInterval = 300 * time.Millisecond
)

// save appends the progress of a long sample to the journal once per save interval.
func (s *sample) save(now time.Time) {
	d := saveInterval
	if s.d.g.drain.leaving() {
		d = drainSaveInterval
	}
	if now.Sub(s.savedAt) >= d {
		s.saveProgress(now)
	}
}

// saveProgress appends the progress of the sample to the journal, unless the host has no memory for the
// record.
func (s *sample) saveProgress(now time.Time) {
	failures, scoreFailures := s.failures.count(), s.scoreFailures.count()
	s.savedAt = now
	size := int64(len(s.text.data) + recordReserve)
	if !s.d.g.texts.Take(size) {
		s.d.g.log.Info("sample: no memory to save its progress", zap.String("id", s.item.ID), zap.Int64("bytes", size))
		return
	}
	defer s.d.g.texts.Give(size)
	s.savedFailures = failures + scoreFailures
	b, err := stepjournal.Saved(s.d.step.ID, &stepjournal.Progress{
		ItemIndex: s.at, Text: s.text.String(),
		LastEvent: s.lastID, Versions: s.text.versions, Writer: s.writer,
		Failures: failures, ScoreFailures: scoreFailures,
	})
	if err != nil || len(b) > s.d.g.s.Log.RecordBytes {
		s.d.g.log.Warn("sample: progress cannot be saved in the journal",
			zap.String("id", s.item.ID), zap.Int("bytes", len(b)), zap.Error(err))
		return
	}
	s.d.view.postProgress(progressKey{step: s.d.step.ID, item: s.at}, b)
}

// saveFailures appends the progress of the sample to the journal if a server has failed since the
// last record, so that its next driver counts on.
func (s *sample) saveFailures() {
	if s.failures.count()+s.scoreFailures.count() > s.savedFailures {
		s.saveProgress(time.Now())
	}
}

// restoreRecord continues from the progress in a record.
func (s *sample) restoreRecord(b []byte) {
	p, err := stepjournal.DecodeProgress(b)
	if err != nil {
		s.d.g.log.Warn("sample: saved progress cannot be decoded; starting anew",
			zap.String("id", s.item.ID), zap.Error(err))
		return
	}
	s.restore(p)
	s.d.g.log.Info("sample: continues from saved progress", zap.String("id", s.item.ID),
		zap.Int64("events", s.lastID))
}

// restore continues from saved progress. Progress is saved after saveInterval, but for a drain,
// so the text took at least that long to generate. A text for which there is no room is generated anew.
func (s *sample) restore(p *stepjournal.Progress) {
	s.failures.set(p.Failures)
	s.scoreFailures.set(p.ScoreFailures)
	s.savedFailures = p.Failures + p.ScoreFailures
	if p.LastEvent == 0 {
		return
	}
	if !s.text.restore(p.Text, p.Versions) {
		s.d.g.log.Info("sample: saved text is not kept, no memory or past its bounds", zap.String("id", s.item.ID),
			zap.Int("bytes", len(p.Text)), zap.Int("versions", len(p.Versions)))
		return
	}
	s.setLast(p.LastEvent)
	s.writer, s.generated, s.brokenAt = p.Writer, saveInterval, time.Now()
}
