package gateway

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"

	"mulberrypier.example/pier/outcome"
)

// maxLineBytes bounds the length of a line of a stream.
const maxLineBytes = 64 << 10

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
}

func newEvents(r io.Reader, versionField string) *events {
	return &events{r: bufio.NewReaderSize(r, 1<<10), versionField: versionField}
}

// next returns the next event, io.EOF after a stream that ended properly, or an
// *outcome.Error.
func (e *events) next() (*event, error) {
	n := &event{id: -1}
	var data []string
	begun := false
	for {
		l, err := e.line()
		if errors.Is(err, io.EOF) && !begun && l == "" {
			return nil, io.EOF
		}
		if err != nil {
			return nil, outcome.Ambiguous(outcome.ReasonShortAnswer, "stream", err)
		}
		if l == "" {
			if !begun {
				continue
			}
			if n.id < 0 {
				return nil, outcome.Ambiguous(outcome.ReasonTokenGap, "event without id", nil)
			}
			n.data = strings.Join(data, "\n")
			return n, nil
		}
		begun = true
		if err := e.field(n, &data, l); err != nil {
			return nil, err
		}
	}
}

func (e *events) line() (string, error) {
	var b []byte
	for {
		p, more, err := e.r.ReadLine()
		if err != nil {
			return string(b), err
		}
		if len(b)+len(p) > maxLineBytes {
			return "", outcome.Ambiguous(outcome.ReasonAnswerTooLarge, "stream", nil)
		}
		b = append(b, p...)
		if !more {
			return string(b), nil
		}
	}
}

func (e *events) field(n *event, data *[]string, l string) error {
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
		*data = append(*data, v)
	case e.versionField:
		i, err := strconv.ParseInt(v, 10, 64)
		if err != nil || i <= 0 {
			return outcome.Ambiguous(outcome.ReasonUnversioned, "event version", err)
		}
		n.version = i
	}
	return nil
}
