package gateway

import (
	"context"
	"fmt"
	"strings"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// checkpointsTopic holds the newest checkpoint of each partition of the journal, in the
	// partition with the same number.
	checkpointsTopic = "keyed.checkpoints"
	// checkpointKey is the key of a checkpoint in its partition, or of its first part. Those of the
	// others are made from it by partKey.
	checkpointKey = "checkpoint"
	// maxPartKeyBytes bounds the length of the key of a part.
	maxPartKeyBytes = len(checkpointKey) + 8
	// checkpointMargin bounds the size of a keyed record without its value, in bytes.
	checkpointMargin = 1 + maxPartKeyBytes
	// maxTornReads is how often the records of a checkpoint are read whose pages belong to different
	// ones. If nothing was appended between two readings, the first was of one checkpoint.
	maxTornReads = 3
)

// partKey returns the key of the part of a checkpoint at an index.
func partKey(i int) string {
	if i == 0 {
		return checkpointKey
	}
	return fmt.Sprintf("%s-%d", checkpointKey, i)
}

// storedCheckpoint is what a partition of checkpointsTopic holds.
type storedCheckpoint struct {
	// values holds the values of the parts by their keys.
	values map[string][]byte
	// end is the end offset of the partition before any of the values was read.
	end int64
	// pages is the number of pages that were read. They are not one snapshot.
	pages int
}

// join returns the checkpoint, nil if there is none.
func (s *storedCheckpoint) join() ([]byte, error) {
	var parts [][]byte
	for i := range len(s.values) {
		b, ok := s.values[partKey(i)]
		if !ok {
			break
		}
		parts = append(parts, b)
	}
	if len(parts) == 0 {
		return nil, nil
	}
	return stepjournal.JoinCheckpoint(parts)
}

// keys returns the keys of the parts.
func (s *storedCheckpoint) keys() map[string]bool {
	r := make(map[string]bool, len(s.values))
	for k := range s.values {
		r[k] = true
	}
	return r
}

// readCheckpoint reads the newest checkpoint of the view's partition. b is nil if there is none that can
// be read. It fails if others took the checkpoint's place each time its pages were read.
func (v *view) readCheckpoint(ctx context.Context) (s *storedCheckpoint, b []byte, err error) {
	previousEnd := partitionlog.NoCondition
	for range maxTornReads {
		s, err = v.readCheckpointRecords(ctx)
		if err != nil {
			return nil, nil, err
		}
		b, err = s.join()
		if err == nil {
			return s, b, nil
		}
		if s.pages == 1 || s.end == previousEnd {
			v.j.g.unreadable.skipped(checkpointsTopic, err, zap.Int("part", v.n))
			return s, nil, nil
		}
		previousEnd = s.end
	}
	return nil, nil, outcome.RefuseWithCause(outcome.ReasonLogDown, "checkpoint is replaced while it is read", err)
}

// readCheckpointRecords reads the newest records of the view's checkpoint.
func (v *view) readCheckpointRecords(ctx context.Context) (*storedCheckpoint, error) {
	at := partitionlog.Partition{Topic: checkpointsTopic, Number: v.n}
	s := storedCheckpoint{values: make(map[string][]byte)}
	l := newListing(at)
	l.pageTimeout = v.j.g.peerLog.limit(checkpointTimeout)
	err := l.read(ctx, v.j.g.c.Log, func(r partitionlog.KeyedRecord) {
		if strings.HasPrefix(r.Key, checkpointKey) && len(r.Value) > 0 {
			s.values[r.Key] = r.Value
		}
	})
	if err != nil {
		v.j.g.logHealth.failed(checkpointsTopic, partitionName(at), err)
		return nil, err
	}
	v.j.g.logHealth.answered(partitionName(at))
	s.end, s.pages = l.end, len(l.asked)
	return &s, nil
}

// checkpointRecords returns the records of a checkpoint, which take the place of those with the given
// keys, and the keys that are in use after it. They must be appended in one call, of which limits
// bound the size of a record and of all of them.
func checkpointRecords(b []byte, old map[string]bool, limits Log) (records [][]byte, keys map[string]bool, err error) {
	parts, err := stepjournal.SplitCheckpoint(b, limits.RecordBytes-checkpointMargin)
	if err != nil {
		return nil, nil, err
	}
	keys = make(map[string]bool, len(parts))
	for i, p := range parts {
		keys[partKey(i)] = true
		records = append(records, partitionlog.EncodeKeyed(partKey(i), p))
	}
	for k := range old {
		if !keys[k] {
			records = append(records, partitionlog.EncodeKeyed(k, nil))
		}
	}
	if n := encodedSize(records); n > limits.CallBytes {
		return nil, nil, outcome.Refuse(outcome.ReasonBadRequest, fmt.Sprintf("checkpoint of %d bytes, %d allowed", n, limits.CallBytes))
	}
	return records, keys, nil
}
