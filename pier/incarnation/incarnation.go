// Package incarnation makes names that differ from start to start.
package incarnation

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// nonceBytes makes two starts of one host with the same name most unlikely.
const nonceBytes = 6

// Nonce returns a random part of a name.
func Nonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // it never fails, by its documentation
	return hex.EncodeToString(b)
}

// Of returns the name of a new incarnation of a host.
func Of(host string) string { return host + "-" + Nonce() }

// IsOf reports whether a name is one of an incarnation of a host.
func IsOf(name, host string) bool {
	n, ok := strings.CutPrefix(name, host+"-")
	b, err := hex.DecodeString(n)
	return ok && err == nil && len(b) == nonceBytes
}
