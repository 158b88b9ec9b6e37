// Package peer implements the RPC protocol between the system's own processes:
// msgpack frames over TCP, each preceded by its length as a four-byte big-endian
// integer.
//
// Calls are multiplexed over one connection. Either side sends a ping when it has
// nothing else to send. A connection on which no frame arrives within the silence
// timeout is closed: its calls fail with the reason connection-silent, and the next
// call opens a new connection. The next call also opens one if a call ended at its
// deadline and no frame has arrived since that call was sent.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/outcome"
)

const (
	// MaxFrameBytes is the maximum length of a frame, not counting its length field.
	MaxFrameBytes = 32 << 20
	// pingInterval is the interval between pings on a connection with nothing else
	// to send.
	pingInterval = 500 * time.Millisecond
	// silenceTimeout is how long a connection may receive no frame before it is closed.
	silenceTimeout = 2 * time.Second
	// writeTimeout is the time limit for writing one frame.
	writeTimeout = 5 * time.Second
	// dialTimeout is the time limit for opening a connection.
	dialTimeout = time.Second
	// bufferBytes is the size of a connection's read buffer and of its write buffer.
	bufferBytes = 16 << 10
	// maxQueuedFrames is how many frames of one reply may be queued for its caller.
	maxQueuedFrames = 1024
)

// Kind is a frame's message type.
type Kind uint8

// The kinds of frames that the protocol itself uses. Kinds from KindFirst on are
// requests, defined by the users of this package.
const (
	kindPing Kind = iota
	kindReply
	kindPart
	kindError
	kindCancel
	// KindFirst is the lowest kind of a request.
	KindFirst
)

// frame is the unit of transmission.
type frame struct {
	Kind Kind `msgpack:"k"`
	// ID matches the frames of a reply to their request. It is chosen by the caller
	// and unique among the requests that it sends on one connection.
	ID uint64 `msgpack:"i"`
	// Timeout is the time until the request's deadline, or zero if it has none. It is
	// relative so that the clocks of the two hosts need not agree.
	Timeout time.Duration      `msgpack:"l,omitempty"`
	Body    msgpack.RawMessage `msgpack:"b"`
}

// Encode returns v encoded as msgpack. An error is an *outcome.Error with the reason
// bad-request.
func Encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "encode: "+err.Error())
	}
	return b, nil
}

// Decode decodes msgpack into v. An error is an *outcome.Error with the reason
// bad-request.
func Decode(b []byte, v any) error {
	if err := boundedmsgpack.Unmarshal(b, v); err != nil {
		return outcome.Refuse(outcome.ReasonBadRequest, "decode: "+err.Error())
	}
	return nil
}

// writeFrame writes f, preceded by its length, without flushing w. If the frame is
// too long, nothing is written and the error has the reason too-large.
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
		return outcome.Ambiguous(outcome.ReasonConnectionLost, "write", err)
	}
	if _, err := w.Write(b); err != nil {
		return outcome.Ambiguous(outcome.ReasonConnectionLost, "write", err)
	}
	return nil
}

// readFrame reads one frame. It rejects a length over MaxFrameBytes before
// allocating memory for the frame.
func readFrame(r *bufio.Reader) (*frame, error) {
	var l [4]byte
	if _, err := io.ReadFull(r, l[:]); err != nil {
		return nil, outcome.Ambiguous(outcome.ReasonConnectionLost, "read", err)
	}
	n := binary.BigEndian.Uint32(l[:])
	if n > MaxFrameBytes {
		return nil, outcome.Ambiguous(outcome.ReasonTooLarge, "frame", nil)
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

// readBody reads n bytes. It grows its buffer only as bytes arrive, so that a corrupt
// length does not allocate memory for bytes that never come.
func readBody(r *bufio.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, bufferBytes))
	for len(b) < n {
		l := len(b)
		m := min(n-l, max(l, bufferBytes))
		b = append(b, make([]byte, m)...)
		if _, err := io.ReadFull(r, b[l:]); err != nil {
			return nil, outcome.Ambiguous(outcome.ReasonConnectionLost, "read", err)
		}
	}
	return b, nil
}
