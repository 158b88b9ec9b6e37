package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"mulberrypier.example/pier/outcome"
)

// maxEventBytes bounds the size of an event of a stream, with all its lines.
const maxEventBytes = 64 << 10

// statesEvents reports whether the head of an answer states that its body is a stream of events.
func statesEvents(h http.Header) bool { return mediaType(h) == "text/event-stream" }

// statesOther reports whether it states that the body is something else. Plain text is what servers state
// of a body whose kind they do not know.
func statesOther(h http.Header) bool {
	t := mediaType(h)
	return t != "" && t != "text/plain" && t != "text/event-stream"
}

// mediaType returns the media type of a body without parameters, empty if none is stated.
func mediaType(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// event is one complete event of a stream.
type event struct {
	id   int64
	data string
	// version is the version that the event states, or 0.
	version int64
}

// events reads a stream of server-sent events. An event counts once the empty line that
// ends it is read; an incomplete event at the end of the stream is discarded and reported
// as an error. Package sse is not used, as it would drop the engine protocol's own field
// for the version.
type events struct {
	r            *bufio.Reader
	versionField string
	// left is the number of bytes that the current event may still have.
	left int
}

func newEvents(r io.Reader, versionField string) *events {
	return &events{r: bufio.NewReaderSize(r, 1<<10), versionField: versionField}
}

// next returns the next event, io.EOF after a stream that ended properly, or an
// *outcome.Error, which never wraps io.EOF.
func (e *events) next() (*event, error) {
	n := &event{id: -1}
	var data []byte
	begun := false
	e.left = maxEventBytes
	for {
		l, err := e.line()
		if errors.Is(err, io.EOF) && !begun && l == "" {
			return nil, io.EOF
		}
		if outcome.HasReason(err, outcome.ReasonAnswerTooLarge) {
			return nil, err
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, bodyError("stream", err)
		}
		if l == "" {
			if !begun {
				continue
			}
			if n.id < 0 {
				return nil, outcome.Ambiguous(outcome.ReasonTokenGap, "event without id", nil)
			}
			n.data = string(data)
			return n, nil
		}
		begun = true
		if err := e.field(n, &data, l); err != nil {
			return nil, err
		}
	}
}

// line returns the next line without its end. It fails with answer-too-large if the event
// passes maxEventBytes; each line counts one byte more than its length.
func (e *events) line() (string, error) {
	var b []byte
	for {
		p, more, err := e.r.ReadLine()
		if err != nil {
			return string(b), err
		}
		if e.left -= len(p); !more {
			e.left--
		}
		if e.left < 0 {
			return "", outcome.Ambiguous(outcome.ReasonAnswerTooLarge, "event", nil)
		}
		b = append(b, p...)
		if !more {
			return string(b), nil
		}
	}
}

// field adds a line to an event. data is nil before the first line with data.
func (e *events) field(n *event, data *[]byte, l string) error {
	k, v, _ := strings.Cut(l, ":")
	v = strings.TrimPrefix(v, " ")
	switch k {
	case "id":
		i, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return outcome.Ambiguous(outcome.ReasonTokenGap, "event id", err)
		}
		n.id = i
	case "data":
		if *data == nil {
			*data = make([]byte, 0, len(v))
		} else {
			*data = append(*data, '\n')
		}
		*data = append(*data, v...)
	case e.versionField:
		i, err := strconv.ParseInt(v, 10, 64)
		if err != nil || i <= 0 {
			return outcome.Ambiguous(outcome.ReasonUnversioned, "event version", err)
		}
		n.version = i
	}
	return nil
}
