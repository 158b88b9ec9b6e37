package answerhead

import (
	"bytes"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxLineBytes bounds a line of a head.
const maxLineBytes = 64 << 10

// The parts of a status line that begins like "HTTP/1.1 200".
const (
	statusLinePrefix = "HTTP/1."
	minorAt          = len(statusLinePrefix)
	statusAt         = minorAt + len("1 ")
	statusEnd        = statusAt + len("200")
)

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// unstated is the length of content that is not stated.
const unstated = -1

// part is a part of a head.
type part int

const (
	partStatusLine part = iota
	partFields
	// partContent is what follows the head of the final answer, which is not scanned.
	partContent
)

// Scanner checks the bytes of the answer to one request, up to the end of its head: any informational (1xx)
// answers, each of which is a head, and the head of the final one. The zero value is at their beginning.
type Scanner struct {
	// next is the part that the next line belongs to.
	next part
	// partial is the beginning of a line that has not ended; nil between lines.
	partial []byte
	// status and http10 are those of the status line of the current head.
	status int
	http10 bool
	// length is the stated length of the content, or unstated.
	length int64
	// encoded is set if the content is sent in chunks.
	encoded bool
	// foldable is set if the next line may continue the last one.
	foldable bool
	// fault is what makes the answer malformed, empty if nothing does so far.
	fault Fault
}

// Scan checks the next bytes of the answer. It returns an *Error if the head is malformed; nothing of the answer
// must be used, and no more of it be read then. What follows the head is accepted unchecked.
func (s *Scanner) Scan(b []byte) error {
	if s.fault == "" {
		s.fault = s.scan(b)
	}
	return s.Err()
}

// Err returns the *Error of the bytes that were scanned, nil if they are sound. After an error in the midst of a
// line, package bufio returns what it has of the line, and reads on.
func (s *Scanner) Err() error {
	if s.fault == "" {
		return nil
	}
	return &Error{Fault: s.fault}
}

// InCloseDelimitedContent reports whether the head has ended, and the content after it ends with the connection: the
// head states neither a length nor chunks. An answer to HEAD, whose content is not sent, counts too.
func (s *Scanner) InCloseDelimitedContent() bool {
	without := s.status == http.StatusNoContent || s.status == http.StatusNotModified
	return s.next == partContent && s.length == unstated && !s.encoded && !without
}

// scan checks the next bytes of the answer, and returns the fault that it finds.
func (s *Scanner) scan(b []byte) Fault {
	for len(b) > 0 && s.next != partContent {
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		if !ended || s.partial != nil {
			s.partial = append(s.partial, line...)
			line = s.partial
		}
		if len(line) > maxLineBytes {
			return FaultLineLength
		}
		if !ended {
			return ""
		}
		s.partial = nil
		if f := s.line(bytes.TrimSuffix(line, []byte("\r"))); f != "" {
			return f
		}
		b = rest
	}
	return ""
}

// line checks a line without its end. It returns its fault, empty if there is none.
func (s *Scanner) line(l []byte) Fault {
	switch {
	case s.next == partStatusLine:
		return s.statusLine(l)
	case len(l) == 0:
		return s.end()
	case isBlank(l[0]):
		return s.continuation(l)
	}
	return s.field(l)
}

// statusLine checks a status line. Many servers leave out the blank before an empty reason.
func (s *Scanner) statusLine(l []byte) Fault {
	if len(l) < statusEnd || !bytes.HasPrefix(l, []byte(statusLinePrefix)) || !isDigit(l[minorAt]) || l[minorAt+1] != ' ' {
		return FaultStatusLine
	}
	status, ok := number(l[statusAt:statusEnd])
	reason := l[statusEnd:]
	if !ok || len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return FaultStatusLine
	}
	*s = Scanner{next: partFields, status: int(status), http10: l[minorAt] == '0', length: unstated}
	switch {
	case status < 100 || status > 599:
		return FaultStatus
	case status == http.StatusSwitchingProtocols:
		return FaultProtocolSwitch
	}
	return ""
}

// field checks a line with the name and the value of a field.
func (s *Scanner) field(l []byte) Fault {
	name, value, ok := bytes.Cut(l, []byte(":"))
	if !ok || !isToken(name) {
		return FaultFieldName
	}
	if !isText(value) {
		return FaultFieldValue
	}
	s.foldable = false
	switch {
	case bytes.EqualFold(name, contentLength):
		return s.contentLength(trimBlanks(value))
	case bytes.EqualFold(name, transferEncoding):
		return s.transferEncoding(trimBlanks(value))
	}
	s.foldable = true
	return ""
}

// continuation checks a line that continues the value of the field before it. Servers must not send such lines, but
// clients may read them.
func (s *Scanner) continuation(l []byte) Fault {
	if !s.foldable {
		return FaultFolding
	}
	if !isText(l) {
		return FaultFieldValue
	}
	return ""
}

// contentLength checks the value of a Content-Length. It may be stated again, but not differently.
func (s *Scanner) contentLength(value []byte) Fault {
	n, ok := number(value)
	if !ok || s.length != unstated && s.length != n {
		return FaultContentLength
	}
	s.length = n
	return ""
}

// transferEncoding checks the value of a Transfer-Encoding. Clients that do not ask for other encodings get chunks
// only.
func (s *Scanner) transferEncoding(value []byte) Fault {
	if s.encoded || !bytes.EqualFold(value, chunked) {
		return FaultTransferEncoding
	}
	s.encoded = true
	return ""
}

// end checks what the fields of a whole head say together. The final answer may follow an informational one.
func (s *Scanner) end() Fault {
	informational := s.status < http.StatusOK
	empty := informational || s.status == http.StatusNoContent
	switch {
	case s.encoded && (s.length != unstated || s.http10 || empty), empty && s.length > 0:
		return FaultFraming
	case informational:
		s.next = partStatusLine
	default:
		s.next = partContent
	}
	return ""
}

// number returns the value of a sequence of digits. It returns false for any other text, and for a value that is
// too large for an int64.
func number(b []byte) (int64, bool) {
	const maxDigits = 18
	if len(b) == 0 || len(b) > maxDigits {
		return 0, false
	}
	var n int64
	for _, c := range b {
		if !isDigit(c) {
			return 0, false
		}
		n = 10*n + int64(c-'0')
	}
	return n, true
}

// isToken reports whether b may be the name of a field.
func isToken(b []byte) bool {
	for _, c := range b {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b, apart from tabs, has no control characters. Bytes above 127 are allowed.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

func trimBlanks(b []byte) []byte { return bytes.Trim(b, " \t") }
