package backend

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A field that is wrong must count as a prompt of unknown length.
func TestPromptTokens(t *testing.T) {
	tests := map[string]int{
		"940,200": 940, " 30000 , 1": 30_000, "7": 7, "": 0, ",5": 0, "-3,5": 0, "x,5": 0, "1.5,2": 0,
		"2000000000,1": maxPromptTokens, "99999999999,1": 0,
	}
	for field, want := range tests {
		t.Run(field, func(t *testing.T) { require.Equal(t, want, PromptTokens(field)) })
	}
}
