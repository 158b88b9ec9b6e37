// Package partitionlog defines the partitioned log on which a deployment keeps what
// must outlast its hosts.
//
// A topic has partitions; a partition numbers its records from 0 without gaps
// and drops the oldest after a time. Keyed topics keep the newest record of each
// key for ever. Log is the seam: its functions are filled by the client of a
// platform's store, or by a stand-in.
package partitionlog

import (
	"context"
	"time"

	"mulberrypier.example/pier/outcome"
)

// Reasons of failed calls, beside those of package outcome.
const (
	// ReasonMoved means that a conditional append found another end offset.
	ReasonMoved outcome.Reason = "end-offset-moved"
	// ReasonExpired means that the records asked for are no longer kept.
	ReasonExpired outcome.Reason = "records-expired"
	// ReasonFenced means that a producer with a higher epoch has appended.
	ReasonFenced outcome.Reason = "producer-fenced"
)

// NoCondition is the AppendRequest.At of an append without a condition.
const NoCondition int64 = -1

// Partition names one partition of a topic.
type Partition struct {
	Topic string
	Part  int
}

// AppendRequest asks to add records to a partition, all or none.
type AppendRequest struct {
	Partition Partition
	Records   [][]byte
	// At is the end offset that the partition must have, or NoCondition.
	At int64
}

// Appended is the range of offsets that an append took.
type Appended struct {
	// First is the offset of the first record; End follows the last one.
	First int64
	End   int64
}

// ReadRequest asks for the records of a partition from an offset on.
type ReadRequest struct {
	Partition Partition
	From      int64
	// MaxBytes bounds the answer; at least one record is returned if there is one.
	MaxBytes int
	// Wait is how long the call may wait for the first record.
	Wait time.Duration
}

// Page is a run of records.
type Page struct {
	// Records have the offsets From, From+1 and so on.
	Records [][]byte
	From    int64
	// First is the oldest offset kept, End the offset of the next append.
	First int64
	End   int64
}

// KeyedRecord is the newest record of a key.
type KeyedRecord struct {
	Key   string
	Value []byte
	// Offset grows with each record of the topic, whatever its key.
	Offset int64
}

// Newest is the state of a keyed topic.
type Newest struct {
	Records []KeyedRecord
	// End is the offset from which to read on.
	End int64
}

// JoinRequest asks to enter a consumer group or to stay in it.
type JoinRequest struct {
	Group  string
	Member string
	Topics []string
	// TTL is how long the member stays without a further call.
	TTL time.Duration
	// Generation is the last one received, 0 at first.
	Generation int64
}

// Membership is a member's place in a group.
type Membership struct {
	Generation int64
	// Parts are the partitions that the member holds.
	Parts []Partition
}

// Log is the seam to a partitioned log. Errors are *outcome.Error: not-run when
// nothing can have been done, unknown when the call may still take effect.
type Log struct {
	Append func(ctx context.Context, q AppendRequest) (Appended, error)
	Read   func(ctx context.Context, q ReadRequest) (Page, error)
	// Newest returns the newest record of each key of a keyed topic.
	Newest func(ctx context.Context, topic string) (Newest, error)
	Join   func(ctx context.Context, q JoinRequest) (Membership, error)
	Leave  func(ctx context.Context, group, member string) error
}

// SplitKeyed splits a record of a keyed topic into key and value. A value of
// length 0 means that the key was dropped.
func SplitKeyed(b []byte) (string, []byte, bool) {
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}

// JoinKeyed is the inverse of SplitKeyed. Keys are at most 255 bytes long.
func JoinKeyed(key string, value []byte) []byte {
	b := make([]byte, 0, 1+len(key)+len(value))
	b = append(b, byte(len(key)))
	b = append(b, key...)
	return append(b, value...)
}
