// Package partitionlog defines the interface to the partitioned log in which a deployment
// keeps the state that must outlive its hosts.
//
// A topic consists of partitions. A partition numbers its records from 0 without gaps and
// drops the oldest ones after a retention time. Keyed topics keep the newest record of each
// key without a time limit. Log is implemented by the client of a platform's store and, for
// tests, by an in-memory log.
package partitionlog

import (
	"context"
	"time"

	"mulberrypier.example/pier/outcome"
)

// Reasons of failed calls, in addition to those of package outcome.
const (
	// ReasonMoved means that the end offset required by a conditional append is not that of
	// the partition, so nothing was appended.
	ReasonMoved outcome.Reason = "end-offset-moved"
	// ReasonExpired means that the requested records are no longer kept.
	ReasonExpired outcome.Reason = "records-expired"
	// ReasonFenced means that another producer with a higher epoch has appended, so that
	// appends of this one are rejected.
	ReasonFenced outcome.Reason = "producer-fenced"
	// ReasonFull means that the log stores all that it can, and appends nothing until records
	// expire. It serves other calls.
	ReasonFull outcome.Reason = "log-full"
)

// NoCondition is the value of AppendRequest.ExpectedEnd for an unconditional append.
const NoCondition int64 = -1

// Partition identifies one partition of a topic.
type Partition struct {
	Topic string
	// Number is the number of the partition, from 0.
	Number int
}

// AppendRequest is a request to append records to a partition: all of them or none.
type AppendRequest struct {
	Partition Partition
	Records   [][]byte
	// ExpectedEnd is the end offset that the partition is required to have, or NoCondition.
	ExpectedEnd int64
}

// AppendResult is the range of offsets of the records of an append.
type AppendResult struct {
	// First is the offset of the first record, End that of the last one plus one.
	First int64
	End   int64
}

// ReadRequest is a request for the records of a partition from offset From on.
type ReadRequest struct {
	Partition Partition
	From      int64
	// MaxBytes is the maximum size of the records returned. The first one is returned even
	// if it is larger.
	MaxBytes int
	// Wait is how long the call may wait for the first record if there is none yet.
	Wait time.Duration
}

// Page is a contiguous sequence of records of a partition.
type Page struct {
	// Records holds the records at the offsets From, From+1 and so on.
	Records [][]byte
	From    int64
	// First is the offset of the oldest record kept, End the offset of the next append.
	First int64
	End   int64
}

// KeyedRecord is the newest record of a key.
type KeyedRecord struct {
	Key   string
	Value []byte
	// Offset increases with each record of the topic, whatever its key.
	Offset int64
}

// Newest is a page of the state of a partition of a keyed topic: the newest record of each key
// that was not deleted. The pages of a partition are read one after the other and are not one snapshot.
type Newest struct {
	Records []KeyedRecord
	// End is the offset from which to read the records that follow the page.
	End int64
	// More is set if another page follows.
	More bool
}

// JoinRequest is a request to join a consumer group or, if repeated, to stay in it.
type JoinRequest struct {
	Group  string
	Member string
	Topics []string
	// TTL is how long the member stays in the group without a further call.
	TTL time.Duration
	// Generation is the last generation of the group that the member received, 0 at first.
	Generation int64
}

// Membership is the assignment of partitions to a member of a consumer group.
type Membership struct {
	// Generation increases with each change of the group's members.
	Generation int64
	// Parts are the partitions that are assigned to the member.
	Parts []Partition
}

// Member is a member of a consumer group.
type Member struct {
	Name string
	// Parts are the partitions that are assigned to the member, at least one.
	Parts []Partition
}

// Log is the interface to a partitioned log, as a set of functions. Their errors are
// *outcome.Error. The outcome is not-run if the call had and will have no effect, and unknown
// if it may have taken effect or may still do so.
type Log struct {
	// Append appends records and returns their offsets. A conditional append fails with
	// ReasonMoved if the end offset differs.
	Append func(ctx context.Context, q AppendRequest) (AppendResult, error)
	// Read returns records from an offset on, or an empty page after ReadRequest.Wait. It
	// fails with ReasonExpired if the record at that offset is no longer kept.
	Read func(ctx context.Context, q ReadRequest) (Page, error)
	// Newest returns the first page of the newest records of the keys in a partition of a
	// keyed topic.
	Newest func(ctx context.Context, p Partition) (Newest, error)
	// NewestAfter returns the page that follows a key.
	NewestAfter func(ctx context.Context, p Partition, key string) (Newest, error)
	// Join enters a member into a consumer group or renews its membership, and returns the
	// partitions that are assigned to it.
	Join func(ctx context.Context, q JoinRequest) (Membership, error)
	// Leave removes a member from a consumer group.
	Leave func(ctx context.Context, group, member string) error
	// Members returns the members of a consumer group that hold partitions, each once.
	Members func(ctx context.Context, group string) ([]Member, error)
}

// DecodeKeyed decodes a record of a keyed topic into key and value. It returns false if the
// record is malformed. An empty value means that the key was deleted.
func DecodeKeyed(b []byte) (string, []byte, bool) {
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}

// EncodeKeyed encodes a record of a keyed topic; it is the inverse of DecodeKeyed. The
// key must not exceed 255 bytes.
func EncodeKeyed(key string, value []byte) []byte {
	b := make([]byte, 0, 1+len(key)+len(value))
	b = append(b, byte(len(key)))
	b = append(b, key...)
	return append(b, value...)
}
