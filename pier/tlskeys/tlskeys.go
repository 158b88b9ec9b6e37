// Package tlskeys reads the keys of an entry host or an operator and makes the
// TLS settings of both ends: each shows its certificate and checks the other's.
package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// Error is a key that cannot be used.
type Error struct {
	File  string
	cause error
}

// Error returns the file and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.File + ": holds no certificate"
	}
	return e.File + ": " + e.cause.Error()
}

// Unwrap returns the library's error.
func (e *Error) Unwrap() error { return e.cause }

// Files names the files of a key, in PEM.
type Files struct {
	Cert, Key, CA string
}

// Load reads the files. The result serves both as client and as server; names
// are not compared, as peers are known by address, but every certificate must be
// signed by CA. An error is an *Error.
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
		VerifyPeerCertificate: signedBy(p),
	}, nil
}

// signedBy returns a check that the first certificate is signed by one of p.
func signedBy(p *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
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
		_, err = c.Verify(x509.VerifyOptions{Roots: p, Intermediates: i, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
		if err != nil {
			return &Error{File: "peer", cause: err}
		}
		return nil
	}
}
