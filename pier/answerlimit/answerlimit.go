// Package answerlimit holds the bound on the header of an answer that the HTTP clients of
// this program share.
package answerlimit

// HeaderBytes is the size of the largest header of an answer. The default of net/http, 10 MB,
// is too much for a small host that has many requests in progress.
const HeaderBytes = 64 << 10
