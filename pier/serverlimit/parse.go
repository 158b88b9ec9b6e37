// Package serverlimit decides how many requests hosts may send to a backend server that
// limits them. A server in need states in its answers how many requests a second it takes
// from all hosts together.
//
// The package performs no I/O.
package serverlimit

import (
	"strconv"
	"strings"

	"mulberrypier.example/pier/outcome"
)

// maxFieldBytes is the length of the longest value that is read as a number.
const maxFieldBytes = 32

// Parse returns the limit that the header fields of an answer state, in requests a second.
// Of several fields the smallest counts. A field must be a decimal number without sign or
// exponent, 0 included. An error is an *outcome.Error with the reason bad-request.
func Parse(fields []string) (float64, error) {
	least := -1.0
	for _, f := range fields {
		v, err := parseField(strings.Trim(f, " \t"))
		if err != nil {
			return 0, err
		}
		if least < 0 || v < least {
			least = v
		}
	}
	if least < 0 {
		return 0, outcome.Refuse(outcome.ReasonBadRequest, "no limit")
	}
	return least, nil
}

func parseField(f string) (float64, error) {
	if len(f) > maxFieldBytes || strings.Trim(f, "0123456789.") != "" {
		return 0, outcome.Refuse(outcome.ReasonBadRequest, "limit is no decimal number")
	}
	v, err := strconv.ParseFloat(f, 64)
	if err != nil {
		return 0, outcome.RefuseWithCause(outcome.ReasonBadRequest, "limit is no decimal number", err)
	}
	return v, nil
}
