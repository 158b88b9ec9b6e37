package tcpstate

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// uploadBytes is more than the buffers of two sockets hold.
	uploadBytes = 6 << 20
	// settle is longer than it takes until the other end of a local connection knows of an event.
	settle = 30 * time.Millisecond
	// promptly is less than maxStall.
	promptly = time.Second
)

// pair returns the two ends of a connection.
func pair(t testing.TB) (own, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	p, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = c.Close(), p.Close() })
	return c.(*net.TCPConn), p.(*net.TCPConn)
}

// upload writes n bytes, and returns the error of the write once it has ended.
func upload(c net.Conn, n int) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, n))
		ended <- err
	}()
	return ended
}

func reset(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }

func always() bool { return true }

func never() bool { return false }

// Of two goroutines that use a connection, the kernel tells one of a reset. If that is the one that writes, the one that
// reads cannot tell the reset from an end.
func TestResetIsToldOnce(t *testing.T) {
	const tries = 50
	unnoticed := 0
	for range tries {
		c, p := pair(t)
		written := upload(c, uploadBytes)
		time.AfterFunc(settle, func() { reset(p) })
		_, readErr := c.Read(make([]byte, 1))
		writeErr := <-written
		require.Error(t, writeErr)
		require.True(t, errors.Is(readErr, syscall.ECONNRESET) != errors.Is(writeErr, syscall.ECONNRESET), "%v, %v", readErr, writeErr)
		if errors.Is(readErr, io.EOF) {
			unnoticed++
		}
		_, again := c.Read(make([]byte, 1))
		require.ErrorIs(t, again, io.EOF)
		require.ErrorIs(t, ConfirmEnd(c, always), ErrReset)
	}
	t.Logf("%d of %d resets were told to the goroutine that wrote", unnoticed, tries)
}

// Once nothing is written any more, a read learns of the reset.
func TestReadAloneLearnsOfReset(t *testing.T) {
	c, p := pair(t)
	require.NoError(t, <-upload(c, 1000))
	reset(p)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestConfirmEnd(t *testing.T) {
	tests := map[string]struct {
		// bytes are uploaded, and end is what the peer does meanwhile.
		bytes int
		end   func(p *net.TCPConn)
		want  error
	}{
		"nothing sent, closed": {end: func(p *net.TCPConn) { _ = p.Close() }},
		"all read, closed": {bytes: uploadBytes, end: func(p *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, p, uploadBytes)
			_ = p.Close()
		}},
		"half-closed, all read later": {bytes: uploadBytes, end: func(p *net.TCPConn) {
			_ = p.CloseWrite()
			time.Sleep(settle)
			_, _ = io.CopyN(io.Discard, p, uploadBytes)
		}},
		"half-closed, read slowly": {bytes: uploadBytes, end: func(p *net.TCPConn) {
			_ = p.CloseWrite()
			for range 4 {
				time.Sleep(settle)
				_, _ = io.CopyN(io.Discard, p, uploadBytes/4)
			}
		}},
		"half-closed, nothing read": {bytes: uploadBytes, end: func(p *net.TCPConn) { _ = p.CloseWrite() }, want: ErrUndelivered},
		"reset":                     {bytes: uploadBytes, end: reset, want: ErrReset},
		"closed with unread bytes":  {bytes: uploadBytes, end: func(p *net.TCPConn) { _ = p.Close() }, want: ErrReset},
		"half-closed, then reset": {bytes: uploadBytes, end: func(p *net.TCPConn) {
			_ = p.CloseWrite()
			time.Sleep(settle)
			reset(p)
		}, want: ErrReset},
		"half-closed, half read, then reset": {bytes: uploadBytes, end: func(p *net.TCPConn) {
			_ = p.CloseWrite()
			_, _ = io.CopyN(io.Discard, p, uploadBytes/2)
			reset(p)
		}, want: ErrReset},
		"all that came read, closed": {bytes: uploadBytes, end: func(p *net.TCPConn) {
			time.Sleep(settle)
			_, _ = io.CopyN(io.Discard, p, uploadBytes/2)
			_ = p.CloseWrite()
			_, _ = io.CopyN(io.Discard, p, 1<<20)
			_ = p.Close()
		}, want: ErrReset},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			own, peer := pair(t)
			written := upload(own, c.bytes)
			done := make(chan struct{})
			go func() {
				defer close(done)
				time.Sleep(settle)
				c.end(peer)
			}()
			// The read may be the call that learns of the reset.
			if _, err := own.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				require.ErrorIs(t, err, io.EOF)
			}
			began := time.Now()
			err := ConfirmEnd(own, func() bool { return c.bytes == 0 || len(written) > 0 })
			require.ErrorIs(t, err, c.want)
			if errors.Is(c.want, ErrUndelivered) {
				require.GreaterOrEqual(t, time.Since(began), maxStall)
			} else {
				require.Less(t, time.Since(began), promptly)
			}
			_ = own.Close()
			<-done
		})
	}
}

// The wait ends with the deadline or the connection.
func TestConfirmEndIsBounded(t *testing.T) {
	tests := map[string]struct {
		end  func(c *net.TCPConn)
		want error
	}{
		"deadline": {end: func(c *net.TCPConn) { _ = c.SetReadDeadline(time.Unix(1, 0)) }, want: os.ErrDeadlineExceeded},
		"close":    {end: func(c *net.TCPConn) { _ = c.Close() }, want: net.ErrClosed},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			own, peer := pair(t)
			require.NoError(t, peer.CloseWrite())
			time.AfterFunc(settle, func() { c.end(own) })
			began := time.Now()
			require.ErrorIs(t, ConfirmEnd(own, never), c.want)
			require.Less(t, time.Since(began), promptly)
		})
	}
}

// wrapped is a connection around another.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

func TestConnectionsAroundASocket(t *testing.T) {
	c, p := pair(t)
	reset(p)
	require.ErrorIs(t, ConfirmEnd(wrapped{wrapped{c}}, always), ErrReset)
	x, _ := net.Pipe()
	require.ErrorIs(t, ConfirmEnd(x, always), errNoSocket)
}

// BenchmarkConfirmEnd is what an answer without a length costs beside its reading.
func BenchmarkConfirmEnd(b *testing.B) {
	c, p := pair(b)
	_ = p.Close()
	_, err := io.ReadAll(c)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if err := ConfirmEnd(c, always); err != nil {
			b.Fatal(err)
		}
	}
}
