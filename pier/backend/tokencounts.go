package backend

import (
	"strconv"
	"strings"
)

// maxPromptTokens bounds the stated length of a prompt, so that a wrong figure does not count for ever.
const maxPromptTokens = 10_000_000

// PromptTokens returns the number of tokens of a prompt as a field Dialect.TokenCounts states it, 0 if it
// states none.
func PromptTokens(field string) int {
	s, _, _ := strings.Cut(field, ",")
	n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return min(int(n), maxPromptTokens)
}
