// Package streamorigin keeps which software began the streams of callers.
//
// What one software version of a service generates, another cannot continue, and a caller may
// take its stream up at any host. The host that passes a stream's first events on therefore
// appends a Record to the log, from which any other learns what may continue the stream. A
// stream of which too little is known is not continued. The package performs no I/O.
package streamorigin

import (
	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/quarantine"
)

// Topic is the name of the topic that holds the records.
const Topic = "streams"

// MaxIDBytes bounds the length of the id of a stream that can be continued, and of the names of the
// software that began it.
const MaxIDBytes = 256

// PartitionOf returns the partition, from 0 to n-1, that holds the record of a stream.
func PartitionOf(stream string, n int) int { return int(xxhash.Sum64String(stream) % uint64(n)) }

// Record states which software began a stream.
type Record struct {
	// Stream is the id of the request that brought the stream's first event.
	Stream string `msgpack:"i"`
	// Request stands for what is the same whenever the caller takes the stream up.
	Request quarantine.Key `msgpack:"k"`
	// Writer is the software that generates the stream; it is known.
	Writer directory.Software `msgpack:"w"`
}

// Encode encodes records as one record of the log. An error is an *outcome.Error.
func Encode(l []Record) ([]byte, error) {
	b, err := msgpack.Marshal(l)
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "origins of streams", err)
	}
	return b, nil
}

// Decode decodes a record of the log. An error is an *outcome.Error.
func Decode(b []byte) ([]Record, error) {
	var l []Record
	if err := boundedmsgpack.Unmarshal(b, &l); err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "origins of streams", err)
	}
	return l, nil
}

// State tells what is known of the origin of a stream.
type State string

// The states. A stream may be continued only if its origin is Known.
const (
	// Known means that the software is known that began the stream.
	Known State = "known"
	// Missing means that there is no record.
	Missing State = "missing"
	// Ambiguous means that records contradict each other, as when an id was used twice.
	Ambiguous State = "ambiguous"
	// Foreign means that the record belongs to a request of another caller or other content.
	Foreign State = "foreign"
)

// Ledger holds the records of the newest streams. It is not safe for concurrent use.
type Ledger struct {
	max     int
	origins map[string]origin
	// order holds the ids of the streams in origins, the oldest first.
	order []string
}

type origin struct {
	Record
	ambiguous bool
}

// NewLedger returns a ledger that keeps the given number of streams.
func NewLedger(max int) *Ledger { return &Ledger{max: max, origins: make(map[string]origin)} }

// Add adds a record. Repeated records change nothing, contradicting ones make the origin
// ambiguous. Records that name no stream or software, or hold too long texts, are ignored.
func (l *Ledger) Add(r Record) {
	if r.Stream == "" || !r.Writer.Known() || max(len(r.Stream), len(r.Writer.Service), len(r.Writer.Version)) > MaxIDBytes {
		return
	}
	if o, ok := l.origins[r.Stream]; ok {
		o.ambiguous = o.ambiguous || o.Record != r
		l.origins[r.Stream] = o
		return
	}
	if len(l.order) >= l.max {
		delete(l.origins, l.order[0])
		l.order = l.order[1:]
	}
	l.origins[r.Stream] = origin{Record: r}
	l.order = append(l.order, r.Stream)
}

// Find returns the record of a stream that a request takes up. It is valid if the state is
// Known.
func (l *Ledger) Find(stream string, request quarantine.Key) (Record, State) {
	o, ok := l.origins[stream]
	switch {
	case !ok:
		return Record{}, Missing
	case o.ambiguous:
		return Record{}, Ambiguous
	case o.Request != request:
		return Record{}, Foreign
	}
	return o.Record, Known
}
