package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/routetable"
)

const (
	// readWait is how long a long-poll read waits for a record. It is short, so that an
	// outage of the log or an unresponsive connection is noticed soon.
	readWait = time.Second
	// readSlack is how long a read may take beyond its wait at a quick log.
	readSlack = 800 * time.Millisecond
	// serversReadInterval and operatorsReadInterval are the shortest times between two
	// reads of a keyed topic, so that records that arrive one by one are read together.
	// Servers write registrations all the time, while new versions of weights should be
	// known at once.
	serversReadInterval   = 150 * time.Millisecond
	operatorsReadInterval = 20 * time.Millisecond
	// maxReadBytes bounds the size of the answer to a read.
	maxReadBytes = 256 << 10
	// logRetryDelay is the delay before a failed call to the log is retried. Followers double it up to
	// maxFollowDelay.
	logRetryDelay  = 150 * time.Millisecond
	maxFollowDelay = 600 * time.Millisecond
)

// follower reads a keyed topic: first the newest record of each key, then all further
// records in order. If records that it has not read yet expire, it starts again from the
// newest ones.
type follower struct {
	g     *Gateway
	topic string
	// put handles a record. An empty value deletes the key.
	put func(key string, value []byte, offset int64)
	// retainKeys is called with the keys of the newest records after they were put, to drop
	// all other keys.
	retainKeys func(keys map[string]bool)
	// readDone is called after each read with its error.
	readDone func(err error)
	// minInterval is the shortest time between two reads.
	minInterval time.Duration
	// next is the offset to read from, or -1 to read the newest record of each key.
	next int64
	// writtenAfter is a time after which the record that is put was written, zero if none is
	// known. endReadAt is when the last read that reached the end of the topic was sent.
	writtenAfter time.Time
	endReadAt    time.Time
	// currentAt is a time since boot at which the host had all records that the topic held, 0 before the first.
	currentAt time.Duration
	// starting is the reading of the newest records that has not come to its end, nil if there is none.
	starting *followerStart
	// ahead holds the offsets of the newest records that lie behind next, so that no key returns
	// to an older value when the records in between are read.
	ahead map[string]int64
}

func (f *follower) run() {
	f.next = -1
	failures := 0
	for f.g.ctx.Err() == nil {
		t := time.Now()
		end := f.g.peerLog.outageEnd()
		err := f.readNext()
		f.readDone(err)
		if err == nil {
			failures = 0
			f.g.logHealth.answered(f.topic)
			backoff.Sleep(f.g.ctx, f.interval()-time.Since(t))
			continue
		}
		if outcome.HasReason(err, partitionlog.ReasonExpired) {
			f.next = -1
			continue
		}
		if f.g.ctx.Err() == nil {
			f.g.logHealth.failed(f.topic, f.topic, err)
		}
		failures++
		retrySleep(f.g.ctx, end, followDelay(failures))
	}
}

// followDelay returns the delay before the next read of a keyed topic after a number of failed ones in a
// row, with jitter.
func followDelay(failures int) time.Duration {
	d := backoff.Exponential(logRetryDelay, maxFollowDelay, failures-1)
	return d/2 + rand.N(d)
}

// interval returns the shortest time between two reads at present.
func (f *follower) interval() time.Duration {
	if f.g.peerLog.directFails() {
		return carriedReadFactor * f.minInterval
	}
	return f.minInterval
}

func (f *follower) readNext() error {
	if f.next < 0 {
		return f.restart()
	}
	ctx, cancel := context.WithTimeout(f.g.ctx, readWait+f.g.peerLog.limit(readSlack))
	defer cancel()
	sent, sentAt := time.Now(), boottime.Now()
	p, err := f.g.c.Log.Read(ctx, partitionlog.ReadRequest{
		Partition: partitionlog.Partition{Topic: f.topic}, From: f.next, MaxBytes: maxReadBytes, Wait: readWait,
	})
	if err != nil {
		return err
	}
	// The log answers when the wait is over at the latest. A host that was suspended sees the answer later.
	answeredAt := min(boottime.Now(), sentAt+readWait)
	f.writtenAfter = f.endReadAt
	for i, b := range p.Records {
		f.apply(p.From+int64(i), b)
	}
	f.next = p.From + int64(len(p.Records))
	if f.next >= p.End {
		f.endReadAt, f.currentAt = sent, answeredAt
	}
	return nil
}

func (f *follower) apply(offset int64, b []byte) {
	k, v, ok := partitionlog.DecodeKeyed(b)
	if !ok {
		f.g.unreadable.skipped(f.topic, errNoKey, zap.Int64("offset", offset))
		return
	}
	if o, newer := f.ahead[k]; newer {
		if o > offset {
			return
		}
		delete(f.ahead, k)
	}
	f.put(k, v, offset)
}

// maxStartFailures is the number of pages that may fail in a row before the newest records are read
// from the first page again.
const maxStartFailures = 20

// followerStart is a reading of the newest record of each key by a follower.
type followerStart struct {
	listing *listing
	// keys holds the keys that were read, offsets those of their records.
	keys    map[string]bool
	offsets map[string]int64
	// sent is when the first page was asked for, sentAt the same time since boot.
	sent   time.Time
	sentAt time.Duration
	// failures is the number of attempts in a row that brought no page.
	failures int
}

func newFollowerStart(topic string) *followerStart {
	return &followerStart{
		listing: newListing(partitionlog.Partition{Topic: topic}), keys: make(map[string]bool), offsets: make(map[string]int64),
		sent: time.Now(), sentAt: boottime.Now(),
	}
}

// restart reads the newest record of each key and drops the keys that are gone. If it fails, the
// next call goes on with the page that could not be read: many hosts may start at the same time,
// and the log has each page to serve to each of them.
func (f *follower) restart() error {
	f.writtenAfter = time.Time{}
	if f.starting == nil {
		f.starting = newFollowerStart(f.topic)
	}
	s := f.starting
	after := s.listing.after
	err := s.listing.read(f.g.ctx, f.g.c.Log, func(r partitionlog.KeyedRecord) {
		s.keys[r.Key] = true
		s.offsets[r.Key] = r.Offset
		f.put(r.Key, r.Value, r.Offset)
	})
	if err != nil {
		f.startFailed(s.listing.after != after)
		return err
	}
	f.starting = nil
	maps.DeleteFunc(s.offsets, func(_ string, o int64) bool { return o < s.listing.end })
	if s.listing.whole {
		f.retainKeys(s.keys)
	} else {
		f.g.log.Warn("log: keys cannot be listed to their end; those missing are known once they are written again",
			zap.String("topic", f.topic), zap.Int("keys", len(s.keys)))
	}
	f.ahead, f.next, f.endReadAt, f.currentAt = s.offsets, s.listing.end, s.sent, s.sentAt
	return nil
}

// startFailed has the newest records read from the first page again if too many attempts in a row
// brought none.
func (f *follower) startFailed(progressed bool) {
	if progressed {
		f.starting.failures = 0
	}
	f.starting.failures++
	if f.starting.failures > maxStartFailures {
		f.starting = nil
	}
}

// tables holds the configuration and the newest version of each model.
type tables struct {
	g        *Gateway
	table    atomic.Pointer[routetable.Table]
	versions atomic.Pointer[map[string]namedVersion]
	// currentAt is follower.currentAt of the operators' topic.
	currentAt atomic.Int64
}

// namedVersion is a version of a model that a trainer has named.
type namedVersion struct {
	version int64
	// seenAt is when this host read its record.
	seenAt time.Time
}

func newTables(g *Gateway) *tables {
	t := &tables{g: g}
	t.versions.Store(&map[string]namedVersion{})
	return t
}

func (t *tables) current() *routetable.Table { return t.table.Load() }

// configurationMaxAge is the time since the operators' topic was last read to its end after which a newer
// configuration may be in it for long.
const configurationMaxAge = 2 * time.Second

// age returns the time since the operators' topic was last read to its end.
func (t *tables) age() time.Duration { return boottime.Now() - time.Duration(t.currentAt.Load()) }

// upToDate reports whether the operators' topic was read to its end shortly before a time since boot.
func (t *tables) upToDate(now time.Duration) bool {
	at := time.Duration(t.currentAt.Load())
	return at != 0 && now-at <= configurationMaxAge
}

// newest returns the newest version of each model. The map must not be changed.
func (t *tables) newest() map[string]namedVersion { return *t.versions.Load() }

func (t *tables) run() {
	f := follower{
		g: t.g, topic: t.g.c.Sources.Operators, put: t.put,
		retainKeys: func(map[string]bool) {}, minInterval: operatorsReadInterval,
	}
	f.readDone = func(error) { t.currentAt.Store(int64(f.currentAt)) }
	f.run()
}

// put handles a record of the operators' topic. A configuration or version that is not
// newer than the current one is ignored. If a record cannot be read, the last valid
// configuration stays in force.
func (t *tables) put(key string, value []byte, offset int64) {
	if len(value) == 0 {
		return
	}
	c, ok, err := t.g.c.Sources.ReadChange(key, value)
	if err != nil {
		t.g.unreadable.skipped(t.g.c.Sources.Operators, err, zap.String("key", key), zap.Int64("offset", offset))
		return
	}
	if !ok {
		return
	}
	if c.Table != nil {
		t.putTable(c.Table)
		return
	}
	t.putVersion(c.Model, c.Version)
}

func (t *tables) putTable(n *routetable.Table) {
	if o := t.table.Load(); o != nil && o.Version >= n.Version {
		return
	}
	t.table.Store(n)
	t.g.log.Info("config: new configuration in force", zap.Int64("version", n.Version))
}

func (t *tables) putVersion(model string, v int64) {
	o := t.newest()
	if o[model].version >= v {
		return
	}
	m := make(map[string]namedVersion, len(o)+1)
	for k, n := range o {
		m[k] = n
	}
	m[model] = namedVersion{version: v, seenAt: time.Now()}
	t.versions.Store(&m)
	t.g.log.Info("weights: version named", zap.String("model", model), zap.Int64("version", v))
	t.g.orders.wake()
}
