// Package tlskeys loads the key and certificates of an entry host or an operator and
// returns the configuration for mutual TLS.
package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// Error reports a key or certificate that cannot be used.
type Error struct {
	// File is the file's name, or "peer" for a certificate that the peer presented.
	File string
	// cause is nil if there is no certificate at all.
	cause error
}

// Error returns the file and the cause, separated by a colon.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.File + ": no certificate found"
	}
	return e.File + ": " + e.cause.Error()
}

// Unwrap returns the error that caused e, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Files names the PEM files of a certificate, its private key, and the certificate of
// the authority that signs all certificates.
type Files struct {
	Cert, Key, CA string
}

// Load reads the files and returns a TLS configuration for both clients and servers.
// Each end must present a certificate that is signed by CA. Host names are not
// verified, as peers are known only by their addresses. An error is an *Error.
func Load(f Files) (*tls.Config, error) {
	k, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, &Error{File: f.Cert, cause: err}
	}
	b, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, &Error{File: f.CA, cause: err}
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, &Error{File: f.CA}
	}
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{k},
		ClientAuth:            tls.RequireAndVerifyClientCert,
		ClientCAs:             p,
		RootCAs:               p,
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: verifySignedBy(p),
	}, nil
}

// verifySignedBy returns a function for tls.Config.VerifyPeerCertificate. It checks that
// the peer's certificate chains up to a certificate in p and has not expired.
func verifySignedBy(p *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return &Error{File: "peer"}
		}
		c, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return &Error{File: "peer", cause: err}
		}
		i := x509.NewCertPool()
		for _, b := range raw[1:] {
			if x, err := x509.ParseCertificate(b); err == nil {
				i.AddCert(x)
			}
		}
		_, err = c.Verify(x509.VerifyOptions{
			Roots: p, Intermediates: i, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		if err != nil {
			return &Error{File: "peer", cause: err}
		}
		return nil
	}
}
