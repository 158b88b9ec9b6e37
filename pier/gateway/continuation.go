package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"mulberrypier.example/pier/outcome"
)

// continuation is the body of an answer that goes on with a stream. Its reader gets only whole events, as
// they were sent, and an error as soon as they are not those that follow: the caller joins them to the
// ones that it has.
type continuation struct {
	r            *bufio.Reader
	versionField string
	// next is the id of the next event, or the lowest that it may have unless consecutive is set.
	next        int64
	consecutive bool
	// whole is the part of the last whole event, or comment, that was not read yet.
	whole []byte
	// err is the error that ended the body, io.EOF if it is complete, nil before that.
	err error
}

func newContinuation(r io.Reader, versionField string, next int64, consecutive bool) *continuation {
	return &continuation{r: bufio.NewReaderSize(r, 1<<10), versionField: versionField, next: next, consecutive: consecutive}
}

// Read implements io.Reader.
func (c *continuation) Read(b []byte) (int, error) {
	for len(c.whole) == 0 {
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.whole)
	c.whole = c.whole[n:]
	return n, nil
}

// fill reads the next event or comment. It fails with io.EOF after a stream that ended properly, and
// with an *outcome.Error otherwise.
func (c *continuation) fill() error {
	if c.err != nil {
		return c.err
	}
	if c.whole, c.err = c.block(); c.err != nil {
		c.whole = nil
	}
	return c.err
}

// block returns the bytes up to the next empty line, which must be a comment or the next event.
func (c *continuation) block() ([]byte, error) {
	var raw []byte
	p := continuationBlock{id: -1}
	for begin := 0; ; {
		l, err := c.r.ReadSlice('\n')
		raw = append(raw, l...)
		switch {
		case len(raw) > maxEventBytes:
			return nil, outcome.Ambiguous(outcome.ReasonAnswerTooLarge, "event", nil)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(raw) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, bodyError("stream", io.ErrUnexpectedEOF)
		case err != nil:
			return nil, bodyError("stream", err)
		}
		line := bytes.TrimSuffix(bytes.TrimSuffix(raw[begin:], []byte("\n")), []byte("\r"))
		begin = len(raw)
		if len(line) == 0 {
			return raw, c.accept(p)
		}
		if err := p.add(line, c.versionField); err != nil {
			return nil, err
		}
	}
}

// accept fails unless a block is a comment or the next event.
func (c *continuation) accept(p continuationBlock) error {
	if p.id < 0 && !p.content {
		return nil
	}
	if p.id < c.next || c.consecutive && p.id != c.next {
		return outcome.Ambiguous(outcome.ReasonTokenGap, "event "+strconv.FormatInt(p.id, 10)+" for "+strconv.FormatInt(c.next, 10), nil)
	}
	c.next = p.id + 1
	return nil
}

// continuationBlock is what is known of the lines since the last empty one.
type continuationBlock struct {
	// id is the id that they state, -1 if they state none.
	id int64
	// content is set if they hold anything but comments and the fields that need no event.
	content bool
}

// add adds a line.
func (p *continuationBlock) add(line []byte, versionField string) error {
	k, v, _ := bytes.Cut(line, []byte(":"))
	switch string(k) {
	case "", "event", "retry", versionField:
		return nil
	case "id":
		n, err := strconv.ParseInt(string(bytes.TrimPrefix(v, []byte(" "))), 10, 64)
		if err != nil {
			return outcome.Ambiguous(outcome.ReasonTokenGap, "event id", err)
		}
		p.id = n
	}
	p.content = true
	return nil
}
