package gateway

import (
	"context"

	"mulberrypier.example/pier/partitionlog"
)

// newestState tells of the newest records of a keyed topic that were read.
type newestState struct {
	// end is the offset from which to read the records that follow.
	end int64
	// whole is set if all keys were read. The log may not be able to continue after a key that is
	// no text.
	whole bool
}

// readNewest reads the newest record of each key of a partition and calls put for each. Only one page
// is held in memory at a time.
func readNewest(ctx context.Context, l partitionlog.Log, from partitionlog.Partition, put func(r partitionlog.KeyedRecord)) (newestState, error) {
	after := ""
	asked := map[string]bool{"": true}
	s := newestState{end: -1}
	for {
		p, err := readNewestPage(ctx, l, from, after)
		if err != nil {
			return newestState{}, err
		}
		// The end as of the first page lets a reader that goes on from there see all later
		// changes, some of them twice.
		if s.end < 0 {
			s.end = p.End
		}
		for _, r := range p.Records {
			put(r)
		}
		s.whole = !p.More
		if !p.More || len(p.Records) == 0 {
			return s, nil
		}
		after = p.Records[len(p.Records)-1].Key
		if asked[after] {
			return s, nil
		}
		asked[after] = true
	}
}

func readNewestPage(ctx context.Context, l partitionlog.Log, from partitionlog.Partition, after string) (partitionlog.Newest, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait+readSlack)
	defer cancel()
	if after == "" {
		return l.Newest(ctx, from)
	}
	return l.NewestAfter(ctx, from, after)
}
