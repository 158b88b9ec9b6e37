package tlskeys

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/peer"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
	dir  string
}

func newAuthority(t *testing.T) *authority {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	b, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	require.NoError(t, err)
	a := &authority{cert: c, key: k, dir: t.TempDir()}
	a.file = a.write(t, "ca.pem", "CERTIFICATE", b)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, b []byte) string {
	f := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(f, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600))
	return f
}

// sign returns the files of a new certificate that expires at until.
func (a *authority) sign(t *testing.T, name string, until time.Time) Files {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: until}
	b, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	require.NoError(t, err)
	d, err := x509.MarshalECPrivateKey(k)
	require.NoError(t, err)
	return Files{Cert: a.write(t, name+".pem", "CERTIFICATE", b), Key: a.write(t, name+".key", "EC PRIVATE KEY", d), CA: a.file}
}

// TestPeers checks that a server accepts only clients with a certificate that is signed
// by its own authority and has not expired.
func TestPeers(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	later := time.Now().Add(time.Hour)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, err := Load(trusted.sign(t, "server", later))
	require.NoError(t, err)
	s := peer.NewServer(peer.ServerConfig{
		Listener: tls.NewListener(l, server),
		Handler:  func(context.Context, *peer.Request) (any, error) { return "here", nil },
	})
	defer s.Close()
	for name, x := range map[string]struct {
		files Files
		ok    bool
	}{
		"same authority":    {trusted.sign(t, "client", later), true},
		"another authority": {untrusted.sign(t, "client", later), false},
		"expired":           {trusted.sign(t, "old", time.Now().Add(-time.Minute)), false},
	} {
		t.Run(name, func(t *testing.T) {
			k, err := Load(x.files)
			require.NoError(t, err)
			c := peer.NewClient(peer.ClientConfig{Dial: func(x context.Context, a netip.AddrPort) (net.Conn, error) {
				d := tls.Dialer{Config: k}
				return d.DialContext(x, "tcp", a.String())
			}})
			defer c.Close()
			err = c.Call(t.Context(), l.Addr().(*net.TCPAddr).AddrPort(), peer.KindFirst, "q", nil)
			require.Equal(t, x.ok, err == nil, "%v", err)
		})
	}
	t.Run("plain connection", func(t *testing.T) {
		c := peer.NewClient(peer.ClientConfig{})
		defer c.Close()
		require.Error(t, c.Call(t.Context(), l.Addr().(*net.TCPAddr).AddrPort(), peer.KindFirst, "q", nil))
	})
}

// TestLoad checks that unusable files are reported as an *Error.
func TestLoad(t *testing.T) {
	a := newAuthority(t)
	f := a.sign(t, "h", time.Now().Add(time.Hour))
	for name, x := range map[string]Files{
		"no certificate": {Cert: "missing", Key: f.Key, CA: f.CA},
		"key of another": {Cert: f.Cert, Key: a.sign(t, "i", time.Now().Add(time.Hour)).Key, CA: f.CA},
		"no authority":   {Cert: f.Cert, Key: f.Key, CA: "missing"},
		"not PEM":        {Cert: f.Cert, Key: f.Key, CA: f.Key},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Load(x)
			var e *Error
			require.True(t, errors.As(err, &e), "%v", err)
			require.NotEmpty(t, e.Error())
		})
	}
}
