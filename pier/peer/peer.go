// Package peer speaks the protocol between the system's own processes: frames of
// msgpack over TCP, each with a four-byte length in front.
//
// Many calls share one connection. Either side sends a ping when it has nothing
// else to send, and a connection without any frame for the silence limit is
// closed: its calls fail with the reason connection-silent, and the next call
// opens a new connection.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/outcome"
)

const (
	// MaxFrameBytes is the greatest length of a frame without its length field.
	MaxFrameBytes = 32 << 20
	// pingInterval is how often a side with nothing to send sends a ping.
	pingInterval = 500 * time.Millisecond
	// silenceLimit is how long a connection may carry no frame from the other side.
	silenceLimit = 2 * time.Second
	// writeLimit is how long the write of one frame may take.
	writeLimit = 5 * time.Second
	// dialLimit is how long the opening of a connection may take.
	dialLimit = time.Second
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 16 << 10
	// partsKept is how many parts of a reply may wait for its caller.
	partsKept = 1024
)

// Kind names a message type.
type Kind uint8

// The kinds of frames of the protocol itself. Kinds from KindFirst on belong to
// the messages that the processes exchange.
const (
	kindPing Kind = iota
	kindReply
	kindPart
	kindError
	kindCancel
	// KindFirst is the lowest kind of a request.
	KindFirst
)

// frame is what travels on the wire.
type frame struct {
	Kind Kind `msgpack:"k"`
	// ID pairs a request with its reply; it is unique on its connection.
	ID uint64 `msgpack:"i"`
	// Left is how long the request's deadline is away; zero for none.
	Left time.Duration      `msgpack:"l,omitempty"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Encode returns v as msgpack. An error is an *outcome.Error.
func Encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "encode: "+err.Error())
	}
	return b, nil
}

// Decode reads msgpack into v. An error is an *outcome.Error.
func Decode(b []byte, v any) error {
	if err := msgpack.Unmarshal(b, v); err != nil {
		return outcome.Refuse(outcome.ReasonBadRequest, "decode: "+err.Error())
	}
	return nil
}

// writeFrame writes f with its length in front and does not flush.
func writeFrame(w *bufio.Writer, f *frame) error {
	b, err := Encode(f)
	if err != nil {
		return err
	}
	if len(b) > MaxFrameBytes {
		return outcome.Refuse(outcome.ReasonTooLarge, "frame")
	}
	var l [4]byte
	binary.BigEndian.PutUint32(l[:], uint32(len(b)))
	if _, err := w.Write(l[:]); err != nil {
		return outcome.Lost(outcome.ReasonConnectionLost, "write", err)
	}
	if _, err := w.Write(b); err != nil {
		return outcome.Lost(outcome.ReasonConnectionLost, "write", err)
	}
	return nil
}

// readFrame reads one frame. It refuses a length over the limit before it
// allocates memory for it.
func readFrame(r *bufio.Reader) (*frame, error) {
	var l [4]byte
	if _, err := io.ReadFull(r, l[:]); err != nil {
		return nil, outcome.Lost(outcome.ReasonConnectionLost, "read", err)
	}
	n := binary.BigEndian.Uint32(l[:])
	if n > MaxFrameBytes {
		return nil, outcome.Lost(outcome.ReasonTooLarge, "frame", nil)
	}
	b, err := readBody(r, int(n))
	if err != nil {
		return nil, err
	}
	var f frame
	if err := Decode(b, &f); err != nil {
		return nil, err
	}
	return &f, nil
}

// readBody reads n bytes; it grows its buffer only as bytes arrive, so a false
// length costs no memory.
func readBody(r *bufio.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, bufferBytes))
	for len(b) < n {
		l := len(b)
		m := min(n-l, max(l, bufferBytes))
		b = append(b, make([]byte, m)...)
		if _, err := io.ReadFull(r, b[l:]); err != nil {
			return nil, outcome.Lost(outcome.ReasonConnectionLost, "read", err)
		}
	}
	return b, nil
}
