package gateway

import (
	"context"
	"time"

	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// readBackAfter is how long an append to the orders' topic may go without an answer before
// its record is looked for in the topic.
const readBackAfter = 120 * time.Millisecond

// appendRecord appends a record under the condition that no other was appended since the
// last read, and returns its offset. If the answer is late or lost, the record itself shows
// that the append was made.
func (o *orders) appendRecord(r *orderlease.Record) (int64, error) {
	b, err := r.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(o.g.ctx, o.g.peerLog.limit(readSlack))
	defer cancel()
	q := partitionlog.AppendRequest{
		Partition: partitionlog.Partition{Topic: orderlease.Topic}, Records: [][]byte{b},
		ExpectedEnd: o.lease.NextOffset(),
	}
	answered := make(chan error, 1)
	go func() {
		_, err := o.g.c.Log.Append(ctx, q)
		answered <- err
	}()
	t := time.NewTimer(readBackAfter)
	defer t.Stop()
	select {
	case err = <-answered:
		if err == nil || outcome.AsError(err).Outcome == outcome.NotRun {
			return q.ExpectedEnd, err
		}
	case <-t.C:
		err = outcome.Ambiguous(outcome.ReasonSilent, "append to "+orderlease.Topic, nil)
	}
	return q.ExpectedEnd, o.readBack(ctx, r, q.ExpectedEnd, answered, err)
}

// readBack looks for a record at an offset until ctx ends. It returns nil if the record is
// there, and otherwise the append's error: the one that answered yields, or last.
func (o *orders) readBack(ctx context.Context, r *orderlease.Record, offset int64, answered <-chan error, last error) error {
	found := make(chan bool, 1)
	go func() { found <- o.find(ctx, r, offset) }()
	for {
		select {
		case ok := <-found:
			if ok {
				return nil
			}
			return last
		case err := <-answered:
			if err == nil || outcome.AsError(err).Outcome == outcome.NotRun {
				return err
			}
			answered, last = nil, err
		}
	}
}

// find reports whether the record at an offset is r, and waits for a record until ctx ends.
func (o *orders) find(ctx context.Context, r *orderlease.Record, offset int64) bool {
	for ctx.Err() == nil {
		p, err := o.g.c.Log.Read(ctx, partitionlog.ReadRequest{
			Partition: partitionlog.Partition{Topic: orderlease.Topic}, From: offset, MaxBytes: maxReadBytes, Wait: readBackAfter,
		})
		if err != nil {
			return false
		}
		if p.From == offset && len(p.Records) > 0 {
			got, err := orderlease.Decode(p.Records[0])
			return err == nil && got.SameAppend(r)
		}
	}
	return false
}
