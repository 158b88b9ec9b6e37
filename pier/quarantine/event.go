package quarantine

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
)

// Topic is the topic of the log that holds the events, in its first partition.
const Topic = "suspects"

// Kind is what an event states. It is also a label value of metrics.
type Kind string

// The kinds of events.
const (
	// KindEnded states that a server ended while it ran the request, KindAnswered that a
	// server ran it to its end.
	KindEnded    Kind = "ended"
	KindAnswered Kind = "answered"
	// KindTrial asks for a trial: the right to send the request to one server while no other
	// host may. Of several events with the same trial number, the first one gets it.
	KindTrial Kind = "trial"
	// KindUnused states that a trial was not made, KindUndecided that it neither ended the
	// server, as far as is known, nor was answered.
	KindUnused    Kind = "unused"
	KindUndecided Kind = "undecided"
	// KindKept repeats what is known of a request that still comes, before it is forgotten.
	KindKept Kind = "kept"
)

// Event is what one host tells all hosts of a request.
type Event struct {
	Kind Kind `msgpack:"k"`
	Key  Key  `msgpack:"r"`
	// Service and Server are where the request ran, or is to run.
	Service string                `msgpack:"v,omitempty"`
	Server  directory.Incarnation `msgpack:"s"`
	// Claim is unique to a KindTrial event and the KindUnused one that may follow it, which can
	// overtake later claims of the same host.
	Claim string `msgpack:"c,omitempty"`
	// Trial is the number of the trial in which the request ran, or is to run; 0 if none.
	Trial int `msgpack:"n,omitempty"`
	// Lasts is how long a trial may last.
	Lasts time.Duration `msgpack:"d,omitempty"`
	// Ends and Trials are the numbers of servers that ended and of trials, in a KindKept event.
	Ends   int `msgpack:"e,omitempty"`
	Trials int `msgpack:"t,omitempty"`
}

// Encode encodes events as one record. An error is an *outcome.Error.
func Encode(l []Event) ([]byte, error) {
	b, err := msgpack.Marshal(l)
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "events of requests", err)
	}
	return b, nil
}

// Decode decodes a record. It returns an *outcome.Error if b is malformed.
func Decode(b []byte) ([]Event, error) {
	var l []Event
	if err := boundedmsgpack.Unmarshal(b, &l); err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "events of requests", err)
	}
	return l, nil
}
