// Package outcome defines the typed result of a request that was not answered.
//
// Every refusal and every failed attempt in the program is an *Error, so that a
// caller always learns whether its request can have run. Only NotRun may be
// retried by the program for a call that is not idempotent.
package outcome

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

// Outcome tells whether a request without an answer can have been executed.
type Outcome string

const (
	// NotRun means that no byte of the request reached a server that runs it.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
)

// Reason is the machine-readable cause of a refusal; it labels the counters.
type Reason string

// The reasons of refusals and failed attempts.
const (
	ReasonBadRequest      Reason = "bad-request"
	ReasonTooLarge        Reason = "too-large"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonUnknownName     Reason = "unknown-name"
	ReasonUnknownStep     Reason = "unknown-step"
	ReasonNoServer        Reason = "no-server"
	ReasonQueueFull       Reason = "queue-full"
	ReasonDeadline        Reason = "deadline-exceeded"
	ReasonDraining        Reason = "draining"
	ReasonNotOwner        Reason = "not-owner"
	ReasonUnreachable     Reason = "unreachable"
	ReasonConnectionLost  Reason = "connection-lost"
	ReasonSilent          Reason = "connection-silent"
	ReasonShortAnswer     Reason = "short-answer"
	ReasonCrossedAnswer   Reason = "crossed-answer"
	ReasonServerError     Reason = "server-error"
	ReasonLogDown         Reason = "log-down"
	ReasonKeyTooOld       Reason = "key-too-old"
	ReasonKeyClaimed      Reason = "key-claimed"
	ReasonKeyMismatch     Reason = "key-mismatch"
	ReasonStaleBase       Reason = "stale-base"
	ReasonConflict        Reason = "conflict"
	ReasonResync          Reason = "resync"
	ReasonRetryBudget     Reason = "retry-budget-exhausted"
	ReasonStaleFence      Reason = "stale-fence"
	ReasonUnversioned     Reason = "chunk-without-version"
	ReasonTokenGap        Reason = "token-gap"
	ReasonCancelled       Reason = "cancelled"
	ReasonNotInForce      Reason = "not-in-force-everywhere"
	ReasonClaimsFull      Reason = "claims-full"
	ReasonAnswerTooLarge  Reason = "answer-too-large"
	ReasonTooManyRequests Reason = "too-many-requests"
	ReasonStaleVersion    Reason = "stale-version"
)

// Error is a request that ended without its answer.
type Error struct {
	// Outcome is never empty. NotRun is set only before the first byte was sent.
	Outcome Outcome `msgpack:"o" json:"outcome"`
	// Reason is one of the constants of this package.
	Reason Reason `msgpack:"r" json:"reason"`
	// Detail names the place: a field, a server, a slot. It may be empty.
	Detail string `msgpack:"d" json:"detail,omitempty"`
	// RetryAfter is how long to wait before asking again; zero for "do not wait".
	RetryAfter time.Duration `msgpack:"a" json:"-"`
	// RequestID is the id of the refused request, set at the edge.
	RequestID string `msgpack:"-" json:"request-id,omitempty"`
	// Remote tells that another entry host answered with this error, so that the
	// way to it is well.
	Remote bool `msgpack:"-" json:"-"`
	cause  error
}

// Refuse returns an Error for a request that was not sent anywhere.
func Refuse(r Reason, detail string) *Error {
	return &Error{Outcome: NotRun, Reason: r, Detail: detail}
}

// Lost returns an Error for a request that may have been executed.
func Lost(r Reason, detail string, cause error) *Error {
	return &Error{Outcome: Unknown, Reason: r, Detail: detail, cause: cause}
}

// RefuseFor is Refuse with the error of the library that caused it.
func RefuseFor(r Reason, detail string, cause error) *Error {
	return &Error{Outcome: NotRun, Reason: r, Detail: detail, cause: cause}
}

// From returns err as an *Error; an error of another type becomes an unknown one.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Lost(ReasonServerError, err.Error(), err)
}

// Is reports whether err is an *Error with the reason r.
func Is(err error, r Reason) bool {
	var e *Error
	return errors.As(err, &e) && e.Reason == r
}

// Error returns outcome, reason and place in one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(string(e.Outcome))
	b.WriteString(": ")
	b.WriteString(string(e.Reason))
	if e.Detail != "" {
		b.WriteString(": ")
		b.WriteString(e.Detail)
	}
	return b.String()
}

// Unwrap returns the error of the library that failed, if there was one.
func (e *Error) Unwrap() error { return e.cause }

// After returns a copy of e that asks the client to wait for d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Status returns the HTTP status code that carries e.
func (e *Error) Status() int {
	switch e.Reason {
	case ReasonBadRequest, ReasonKeyMismatch:
		return http.StatusBadRequest
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonUnknownName, ReasonUnknownStep:
		return http.StatusNotFound
	case ReasonConflict, ReasonStaleBase, ReasonResync, ReasonKeyClaimed:
		return http.StatusConflict
	case ReasonQueueFull, ReasonTooManyRequests:
		return http.StatusTooManyRequests
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonServerError, ReasonShortAnswer, ReasonCrossedAnswer, ReasonAnswerTooLarge:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
