package gateway

import (
	"mulberrypier.example/pier/grace"
	"mulberrypier.example/pier/outcome"
)

// admittedRequest is a caller's request that may begin. Its End must be called.
type admittedRequest struct {
	*grace.Request
	// whole is set if none of its answer may be passed on before all of it is there.
	whole bool
}

// checkAnswer returns an error if an answer may not be passed on, as it is not whole and the host may have to
// end before it is.
func (a *admittedRequest) checkAnswer(x *Answer) error {
	if x.Rest == nil {
		return nil
	}
	a.AnswerInParts()
	if a.whole {
		return outcome.Ambiguous(outcome.ReasonDraining, x.Server.ID, nil)
	}
	return nil
}
