package gateway

import (
	"context"
	"time"

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

// listing reads the newest record of each key of a partition, page by page. A reading that failed goes
// on with the page that it could not read.
type listing struct {
	newestState
	// from is the partition whose records are read.
	from partitionlog.Partition
	// after is the last key of the pages that were read, asked holds those after which pages were
	// asked for.
	after string
	asked map[string]bool
	// pageTimeout bounds the time to read a page.
	pageTimeout time.Duration
}

func newListing(from partitionlog.Partition) *listing {
	return &listing{newestState: newestState{end: -1}, from: from, asked: make(map[string]bool), pageTimeout: readWait + readSlack}
}

// read reads the pages that are left and calls put for each record. Only one page is held in memory
// at a time.
func (l *listing) read(ctx context.Context, log partitionlog.Log, put func(r partitionlog.KeyedRecord)) error {
	for {
		p, err := l.readPage(ctx, log)
		if err != nil {
			return err
		}
		// The end as of the first page lets a reader that goes on from there see all later
		// changes, some of them twice.
		if l.end < 0 {
			l.end = p.End
		}
		for _, r := range p.Records {
			put(r)
		}
		l.whole = !p.More
		l.asked[l.after] = true
		if !p.More || len(p.Records) == 0 {
			return nil
		}
		l.after = p.Records[len(p.Records)-1].Key
		if l.asked[l.after] {
			return nil
		}
	}
}

// readNewest reads the newest record of each key of a partition at once.
func readNewest(ctx context.Context, log partitionlog.Log, from partitionlog.Partition, put func(r partitionlog.KeyedRecord)) (newestState, error) {
	l := newListing(from)
	if err := l.read(ctx, log, put); err != nil {
		return newestState{}, err
	}
	return l.newestState, nil
}

// readPage reads the page after the last one.
func (l *listing) readPage(ctx context.Context, log partitionlog.Log) (partitionlog.Newest, error) {
	ctx, cancel := context.WithTimeout(ctx, l.pageTimeout)
	defer cancel()
	if l.after == "" {
		return log.Newest(ctx, l.from)
	}
	return log.NewestAfter(ctx, l.from, l.after)
}
