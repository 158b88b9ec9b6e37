// Package answerhead checks the heads of HTTP/1 answers, which are their status lines and fields, against RFC 9110
// and RFC 9112.
//
// Package net/http reads several heads that are invalid: any three digits are a status, the name of a field may
// hold blanks, and a Content-Length beside chunks is ignored. A client that goes on with such an answer may take
// something else for its content, or wait for content that does not come.
package answerhead

import (
	"errors"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"mulberrypier.example/pier/outcome"
)

// Fault is what makes an answer malformed.
type Fault string

// The faults.
const (
	// FaultStatusLine means that the first line is no status line of HTTP/1.
	FaultStatusLine Fault = "status-line"
	// FaultStatus means that the status lies outside 100 to 599.
	FaultStatus Fault = "status-out-of-range"
	// FaultProtocolSwitch means that the server switched to another protocol, which is never asked for.
	FaultProtocolSwitch Fault = "protocol-switch"
	// FaultFieldName means that a line does not begin with the name of a field and a colon.
	FaultFieldName Fault = "field-name"
	// FaultFieldValue means that the value of a field holds a control character.
	FaultFieldValue Fault = "field-value"
	// FaultFolding means that a line continues one that must be whole.
	FaultFolding Fault = "line-folding"
	// FaultLineLength means that a line is longer than maxLineBytes.
	FaultLineLength Fault = "line-length"
	// FaultContentLength means that the stated length is no number, or that two differ.
	FaultContentLength Fault = "content-length"
	// FaultTransferEncoding means that the content is encoded in another way than in chunks.
	FaultTransferEncoding Fault = "transfer-encoding"
	// FaultFraming means that the head contradicts itself about where the content ends.
	FaultFraming Fault = "framing"
	// FaultTrailer means that a trailer holds a line that does not begin with the name of a field.
	FaultTrailer Fault = "trailer"
)

// Error is the error of a malformed answer.
type Error struct {
	Fault Fault
}

// Error implements error.
func (e *Error) Error() string { return "malformed answer: " + string(e.Fault) }

// Reason returns ReasonMalformedAnswer if err is caused by a malformed answer, and otherwise r.
func Reason(err error, r outcome.Reason) outcome.Reason {
	var e *Error
	if errors.As(err, &e) {
		return outcome.ReasonMalformedAnswer
	}
	return r
}

// CheckTrailer returns an *Error if the trailer of an answer, as package net/http has read it, is malformed.
func CheckTrailer(h http.Header) error {
	for k := range h {
		if !httpguts.ValidHeaderFieldName(k) {
			return &Error{Fault: FaultTrailer}
		}
	}
	return nil
}
