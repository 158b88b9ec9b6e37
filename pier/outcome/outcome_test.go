package outcome

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAsError(t *testing.T) {
	refusal := Refuse(ReasonQueueFull, "s")
	plain := errors.New("x")
	tests := map[string]struct {
		err  error
		want *Error
	}{
		"none":    {nil, nil},
		"its own": {refusal, refusal},
		"another": {plain, Ambiguous(ReasonServerError, "x", plain)},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, AsError(c.err)) })
	}
}
