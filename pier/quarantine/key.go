// Package quarantine decides which requests may be sent to servers, given which servers ended
// while they ran which requests.
//
// A request that crashes the servers that run it comes again under another id, at any host.
// All hosts fold the same records into a Ledger, so they agree on what is known of it. The
// package performs no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Identity is the part of a request that is the same whenever it comes again.
type Identity struct {
	Host   string
	Method string
	// Target is the path and query.
	Target string
	// Caller is the credential that the caller presents, empty if there is none.
	Caller string
	Body   []byte
}

// Key stands for an Identity. Nobody can find another request with the same key.
type Key [16]byte

// KeyOf returns the key of an identity.
func KeyOf(i Identity) Key {
	h := sha256.New()
	var n [8]byte
	for _, f := range [][]byte{[]byte(i.Host), []byte(i.Method), []byte(i.Target), []byte(i.Caller), i.Body} {
		binary.BigEndian.PutUint64(n[:], uint64(len(f)))
		h.Write(n[:])
		h.Write(f)
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
