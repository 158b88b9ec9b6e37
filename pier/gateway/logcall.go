package gateway

import (
	"context"
	"time"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// kindLogCall is the kind of a message that carries a call to the log.
const kindLogCall = kindStepQuery + 1

// maxQuickBytes is the size of an answer up to which its transfer hardly counts.
const maxQuickBytes = 32 << 10

// logCall is a call to the log. One of its fields is set, but for those that belong to Newest.
type logCall struct {
	Append *partitionlog.AppendRequest `msgpack:"a"`
	Read   *partitionlog.ReadRequest   `msgpack:"r"`
	// Newest is the topic whose newest records are asked for, in the partition Number: the page
	// after the key After if Paged is set, and all of them for a host of an earlier version, which
	// sets none of these.
	Newest  string                    `msgpack:"n"`
	Number  int                       `msgpack:"p"`
	After   string                    `msgpack:"f"`
	Paged   bool                      `msgpack:"g"`
	Join    *partitionlog.JoinRequest `msgpack:"j"`
	Leave   *leaveCall                `msgpack:"l"`
	Members string                    `msgpack:"m"`
}

// leaveCall removes a member from a group.
type leaveCall struct {
	Group  string `msgpack:"g"`
	Member string `msgpack:"m"`
}

// logAnswer is the log's answer to a logCall. Err is its error, if any; the page of a read
// that failed may still state the first offset.
type logAnswer struct {
	Append     partitionlog.AppendResult `msgpack:"a"`
	Page       partitionlog.Page         `msgpack:"p"`
	Newest     partitionlog.Newest       `msgpack:"n"`
	Membership partitionlog.Membership   `msgpack:"m"`
	// Members names the members of a group for a host of an earlier version, Assigned holds them with
	// their partitions.
	Members  []string              `msgpack:"l"`
	Assigned []partitionlog.Member `msgpack:"b"`
	Err      *outcome.Error        `msgpack:"e"`
}

// repeatable reports whether the call may be made again although it may have been executed.
// Records of steps, claims and memberships may be repeated: the first one, or the same one,
// counts. A conditional append may not, as its own first execution would fail the second.
func (q *logCall) repeatable() bool {
	return q.Append == nil || q.Append.ExpectedEnd == partitionlog.NoCondition
}

// isLarge reports whether the call is a read that may have a large answer: one of a checkpoint, or
// one of the journal that does not wait for new records.
func (q *logCall) isLarge() bool {
	return q.Newest == checkpointsTopic || q.Read != nil && q.Read.Partition.Topic == stepjournal.Topic && q.Read.Wait == 0
}

// peersWorthAsking returns the number of peers to ask after a direct call failed at a host that
// the log does not turn away. They cannot help a large read that the log is too busy for.
func (q *logCall) peersWorthAsking() int {
	if q.isLarge() {
		return 1
	}
	return maxPeersAsked
}

// wait returns how long the log may hold the call back.
func (q *logCall) wait() time.Duration {
	if q.Read != nil {
		return q.Read.Wait
	}
	return 0
}

// latency returns the time that the log took for an answer, given the time until it arrived. ok is
// false if most of that time may have passed otherwise: in the wait for records or in their transfer.
func (q *logCall) latency(a *logAnswer, took time.Duration) (d time.Duration, ok bool) {
	if !a.answered() || encodedSize(a.Page.Records) > maxQuickBytes {
		return 0, false
	}
	if q.wait() > 0 && (len(a.Page.Records) > 0 || a.Err != nil) {
		return 0, false
	}
	return max(took-q.wait(), 0), true
}

// make calls a log.
func (q *logCall) make(ctx context.Context, l partitionlog.Log) *logAnswer {
	var a logAnswer
	var err error
	switch {
	case q.Append != nil:
		a.Append, err = l.Append(ctx, *q.Append)
	case q.Read != nil:
		a.Page, err = l.Read(ctx, *q.Read)
	case q.Newest != "":
		a.Newest, err = q.newest(ctx, l)
	case q.Join != nil:
		a.Membership, err = l.Join(ctx, *q.Join)
	case q.Leave != nil:
		err = l.Leave(ctx, q.Leave.Group, q.Leave.Member)
	case q.Members != "":
		a.Assigned, err = l.Members(ctx, q.Members)
		for _, m := range a.Assigned {
			a.Members = append(a.Members, m.Name)
		}
	default:
		err = outcome.Refuse(outcome.ReasonBadRequest, "empty call to the log")
	}
	a.Err = outcome.AsError(err)
	return &a
}

// newest returns the page that is asked for, or all pages together.
func (q *logCall) newest(ctx context.Context, l partitionlog.Log) (partitionlog.Newest, error) {
	from := partitionlog.Partition{Topic: q.Newest, Number: q.Number}
	switch {
	case q.Paged && q.After != "":
		return l.NewestAfter(ctx, from, q.After)
	case q.Paged:
		return l.Newest(ctx, from)
	}
	var r partitionlog.Newest
	s, err := readNewest(ctx, l, from, func(k partitionlog.KeyedRecord) { r.Records = append(r.Records, k) })
	r.End = s.end
	return r, err
}

// members returns the members of a group. A host of an earlier version names them only.
func (a *logAnswer) members() []partitionlog.Member {
	if len(a.Assigned) > 0 {
		return a.Assigned
	}
	var r []partitionlog.Member
	for _, n := range a.Members {
		r = append(r, partitionlog.Member{Name: n})
	}
	return r
}

// err returns the error of the answer, nil if there is none.
func (a *logAnswer) err() error {
	if a.Err == nil {
		return nil
	}
	return a.Err
}

// answered reports whether the log answered, be it with an error of its own such as an end
// offset that has moved.
func (a *logAnswer) answered() bool {
	if a.Err == nil {
		return true
	}
	switch a.Err.Reason {
	case partitionlog.ReasonMoved, partitionlog.ReasonExpired, partitionlog.ReasonFenced, partitionlog.ReasonFull,
		outcome.ReasonBadRequest:
		return true
	}
	return false
}

// doneCall collects the answers of the paths by which a call was made.
type doneCall struct {
	q *logCall
	// answer is the log's answer, or else the failure that leaves most open.
	answer *logAnswer
}

func (d *doneCall) add(a *logAnswer) {
	if d.answer == nil || a.answered() || d.answer.Err.Outcome == outcome.NotRun {
		d.answer = a
	}
}

// settled reports whether the call must not be made again.
func (d *doneCall) settled(ctx context.Context) bool {
	if d.answer == nil {
		return false
	}
	return d.answer.answered() || ctx.Err() != nil || d.answer.Err.Outcome != outcome.NotRun && !d.q.repeatable()
}
