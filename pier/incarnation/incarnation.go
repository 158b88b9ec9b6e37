// Package incarnation generates names for the incarnations of a host: each start of a host
// gets a new name, which consists of the host's name and a random part.
package incarnation

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// nonceBytes is the length of the random part before encoding. With 48 bits, it is very
// unlikely that two incarnations of a host get the same name.
const nonceBytes = 6

// Nonce returns the random part of a name: nonceBytes random bytes in hexadecimal.
func Nonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b)
}

// NewName returns a name for a new incarnation of a host. Each call returns a different name.
func NewName(host string) string { return host + "-" + Nonce() }

// IsOf reports whether a name is that of an incarnation of the given host.
func IsOf(name, host string) bool {
	n, ok := strings.CutPrefix(name, host+"-")
	b, err := hex.DecodeString(n)
	return ok && err == nil && len(b) == nonceBytes
}
