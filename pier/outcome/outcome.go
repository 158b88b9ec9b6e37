// Package outcome defines the error of a request that got no answer.
//
// Every refusal and every failed attempt in the program is an *Error, so that a caller
// always learns whether its request may have been executed. The program retries a call
// that is not idempotent only if its outcome is NotRun.
package outcome

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"
)

// Outcome states whether a request without an answer may have been executed.
type Outcome string

const (
	// NotRun means that the request was not executed: either no byte of it was sent to a
	// server that executes it, or the server stated that it did not execute it.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
)

// Reason is the machine-readable cause of a refusal or failure. It is also a label value of
// metrics.
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
	ReasonMalformedAnswer Reason = "malformed-answer"
	ReasonTooManyRequests Reason = "too-many-requests"
	ReasonStaleVersion    Reason = "stale-version"
	ReasonServerLimit     Reason = "server-limit"
	ReasonPermitExpired   Reason = "permit-expired"
	ReasonQuarantined     Reason = "quarantined"
	ReasonUnknownOrigin   Reason = "unknown-origin"
	// ReasonStaleConfiguration means that the host may not have read the newest configuration, in which the key of
	// the request may stand.
	ReasonStaleConfiguration Reason = "stale-configuration"
	// ReasonOtherOrganisation means that the step was submitted by another organisation before.
	ReasonOtherOrganisation Reason = "other-organisation"
	// ReasonMemory means that the host has no memory for the request.
	ReasonMemory Reason = "memory"
	// ReasonOtherIncarnation means that the server has started again under its id.
	ReasonOtherIncarnation Reason = "other-incarnation"
	// ReasonUnconfirmed means that it is not known which incarnation of the server answers.
	ReasonUnconfirmed Reason = "unconfirmed-incarnation"
	// ReasonServerLeft means that the server left, or started again, while the request waited.
	ReasonServerLeft Reason = "server-left"
	// ReasonNotEvents means that a server sent something else than the events that it was asked for.
	ReasonNotEvents Reason = "not-events"
	// ReasonSlowCaller means that an answer was aborted whose caller read it too slowly.
	ReasonSlowCaller Reason = "slow-caller"
)

// Error is the error of a request that ended without an answer.
type Error struct {
	// Outcome is never empty. It is NotRun only if no byte of the request was sent or the
	// server stated that it did not execute it.
	Outcome Outcome `msgpack:"o" json:"outcome"`
	// Reason is one of the constants of this package.
	Reason Reason `msgpack:"r" json:"reason"`
	// Detail names what the error is about: a field, a server or a slot, for example. It may
	// be empty.
	Detail string `msgpack:"d" json:"detail,omitempty"`
	// RetryAfter is how long to wait before a retry; zero if no wait is requested.
	RetryAfter time.Duration `msgpack:"a" json:"-"`
	// RequestID is the id of the refused request, set where the error leaves the host.
	RequestID string `msgpack:"-" json:"request-id,omitempty"`
	// Remote reports whether another entry host answered with this error, which shows that
	// the host is reachable.
	Remote bool `msgpack:"-" json:"-"`
	cause  error
}

// Refuse returns an Error with outcome NotRun, for a request that was not executed.
func Refuse(r Reason, detail string) *Error {
	return &Error{Outcome: NotRun, Reason: r, Detail: detail}
}

// Ambiguous returns an Error with outcome Unknown, for a request that may have been executed.
// The cause may be nil.
func Ambiguous(r Reason, detail string, cause error) *Error {
	return &Error{Outcome: Unknown, Reason: r, Detail: detail, cause: cause}
}

// RefuseWithCause is like Refuse, and wraps the error that caused the refusal, which may be nil.
func RefuseWithCause(r Reason, detail string, cause error) *Error {
	return &Error{Outcome: NotRun, Reason: r, Detail: detail, cause: cause}
}

// AsError returns the *Error in the chain of err. If there is none, it returns one that
// wraps err, with outcome Unknown and ReasonServerError. For a nil error it returns nil.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Ambiguous(ReasonServerError, err.Error(), err)
}

// ReasonOf returns the reason of a failure that the end of ctx has caused: that of the *Error which
// ctx was cancelled with, cancelled if the caller no longer waits, and deadline-exceeded otherwise.
func ReasonOf(ctx context.Context) Reason {
	var e *Error
	if errors.As(context.Cause(ctx), &e) {
		return e.Reason
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return ReasonCancelled
	}
	return ReasonDeadline
}

// HasReason reports whether err wraps an *Error with the reason r.
func HasReason(err error, r Reason) bool {
	var e *Error
	return errors.As(err, &e) && e.Reason == r
}

// Error returns the outcome, the reason and, if any, the detail, separated by colons.
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

// Unwrap returns the error that caused e, or nil.
func (e *Error) Unwrap() error { return e.cause }

// After returns a copy of e that asks the client to wait for d before a retry.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithReason returns a copy of e with another reason, and with e as its cause.
func (e *Error) WithReason(r Reason) *Error {
	return &Error{Outcome: e.Outcome, Reason: r, Detail: e.Error(), RetryAfter: e.RetryAfter, cause: e}
}

// Status returns the HTTP status code of an answer that carries e.
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
	case ReasonServerError, ReasonShortAnswer, ReasonCrossedAnswer, ReasonAnswerTooLarge, ReasonMalformedAnswer:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
