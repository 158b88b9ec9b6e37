package answerhead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// content follows the heads of the tests. It must not be scanned.
const content = "\x00: not a head\r\n\r\n"

// faultsOf holds the fault of heads, empty for valid ones.
var faultsOf = map[string]struct {
	head string
	want Fault
}{
	"plain":                        {head: "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"},
	"no fields":                    {head: "HTTP/1.1 200 OK\r\n\r\n"},
	"lowest status":                {head: "HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 \r\n\r\n"},
	"highest status":               {head: "HTTP/1.1 599 \r\n\r\n"},
	"HTTP/1.0":                     {head: "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n"},
	"later minor version":          {head: "HTTP/1.9 200 OK\r\n\r\n"},
	"empty reason":                 {head: "HTTP/1.1 200 \r\n\r\n"},
	"no blank before the reason":   {head: "HTTP/1.1 200\r\n\r\n"},
	"odd reason":                   {head: "HTTP/1.1 200  a\tb: \xff\r\n\r\n"},
	"lines end with LF":            {head: "HTTP/1.1 200 OK\nA: b\n\n"},
	"empty value":                  {head: "HTTP/1.1 200 OK\r\nA:\r\nB: \r\n\r\n"},
	"odd values":                   {head: "HTTP/1.1 200 OK\r\nA: \t:\xff \r\n\r\n"},
	"odd names":                    {head: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: 1\r\n0: 1\r\n\r\n"},
	"folded value":                 {head: "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\td\r\n\r\n"},
	"equal lengths":                {head: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nCONTENT-length: 7 \r\n\r\n"},
	"chunks":                       {head: "HTTP/1.1 200 OK\r\ntransfer-encoding: \tCHUNKED\r\n\r\n"},
	"no content":                   {head: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
	"length of what is unmodified": {head: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"},
	"informational answers":        {head: "HTTP/1.1 100 \r\n\r\nHTTP/1.1 199 \r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"},

	"empty":                          {head: "\r\n", want: FaultStatusLine},
	"other protocol":                 {head: "ICY 200 OK\r\n", want: FaultStatusLine},
	"lower case":                     {head: "http/1.1 200 OK\r\n", want: FaultStatusLine},
	"HTTP/2":                         {head: "HTTP/2.0 200 OK\r\n", want: FaultStatusLine},
	"long version":                   {head: "HTTP/1.10 200 OK\r\n", want: FaultStatusLine},
	"no minor version":               {head: "HTTP/1. 200 OK\r\n", want: FaultStatusLine},
	"two blanks":                     {head: "HTTP/1.1  200 OK\r\n", want: FaultStatusLine},
	"tab":                            {head: "HTTP/1.1\t200 OK\r\n", want: FaultStatusLine},
	"two digits":                     {head: "HTTP/1.1 20 OK\r\n", want: FaultStatusLine},
	"four digits":                    {head: "HTTP/1.1 2000 OK\r\n", want: FaultStatusLine},
	"sign":                           {head: "HTTP/1.1 +20 OK\r\n", want: FaultStatusLine},
	"control character in a reason":  {head: "HTTP/1.1 200 \x01\r\n", want: FaultStatusLine},
	"CR in a reason":                 {head: "HTTP/1.1 200 O\rK\r\n", want: FaultStatusLine},
	"status 000":                     {head: "HTTP/1.1 000 \r\n", want: FaultStatus},
	"status 099":                     {head: "HTTP/1.1 099 \r\n", want: FaultStatus},
	"status 600":                     {head: "HTTP/1.1 600 \r\n", want: FaultStatus},
	"status 101":                     {head: "HTTP/1.1 101 \r\n", want: FaultProtocolSwitch},
	"000 after an informational one": {head: "HTTP/1.1 100 \r\n\r\nHTTP/1.1 000 \r\n", want: FaultStatus},
	"blank in a name":                {head: "HTTP/1.1 200 OK\r\nA B: 1\r\n", want: FaultFieldName},
	"blank before the colon":         {head: "HTTP/1.1 200 OK\r\nA : 1\r\n", want: FaultFieldName},
	"blank before a length's colon":  {head: "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", want: FaultFieldName},
	"control character in a name":    {head: "HTTP/1.1 200 OK\r\nA\x00: 1\r\n", want: FaultFieldName},
	"byte over 127 in a name":        {head: "HTTP/1.1 200 OK\r\n\xe4: 1\r\n", want: FaultFieldName},
	"empty name":                     {head: "HTTP/1.1 200 OK\r\n: 1\r\n", want: FaultFieldName},
	"no colon":                       {head: "HTTP/1.1 200 OK\r\nA\r\n", want: FaultFieldName},
	"CR alone":                       {head: "HTTP/1.1 200 OK\r\n\r\r\n", want: FaultFieldName},
	"control character in a value":   {head: "HTTP/1.1 200 OK\r\nA: \x7f\r\n", want: FaultFieldValue},
	"CR in a value":                  {head: "HTTP/1.1 200 OK\r\nA: b\r\r\n", want: FaultFieldValue},
	"NUL in a folded value":          {head: "HTTP/1.1 200 OK\r\nA: b\r\n \x00\r\n", want: FaultFieldValue},
	"blank before the first name":    {head: "HTTP/1.1 200 OK\r\n A: b\r\n", want: FaultFolding},
	"folded length":                  {head: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n", want: FaultFolding},
	"line without end":               {head: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", maxLineBytes), want: FaultLineLength},
	"no length":                      {head: "HTTP/1.1 200 OK\r\nContent-Length:\r\n", want: FaultContentLength},
	"signed length":                  {head: "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n", want: FaultContentLength},
	"hexadecimal length":             {head: "HTTP/1.1 200 OK\r\nContent-Length: 0x1\r\n", want: FaultContentLength},
	"list of lengths":                {head: "HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n", want: FaultContentLength},
	"large length":                   {head: "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n", want: FaultContentLength},
	"unequal lengths":                {head: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n", want: FaultContentLength},
	"other encoding":                 {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n", want: FaultTransferEncoding},
	"two encodings":                  {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", want: FaultTransferEncoding},
	"length, then chunks":            {head: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", want: FaultFraming},
	"chunks, then a length":          {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", want: FaultFraming},
	"chunks in HTTP/1.0":             {head: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", want: FaultFraming},
	"chunks without content":         {head: "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", want: FaultFraming},
	"length without content":         {head: "HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\n", want: FaultFraming},
	"informational with content":     {head: "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\n", want: FaultFraming},
	"informational with chunks":      {head: "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n", want: FaultFraming},
}

// fault returns the fault of an error of Scan.
func fault(t *testing.T, err error) Fault {
	t.Helper()
	if err == nil {
		return ""
	}
	var e *Error
	require.ErrorAs(t, err, &e)
	return e.Fault
}

// The result must not depend on the parts in which a head arrives.
func TestFaults(t *testing.T) {
	for name, c := range faultsOf {
		t.Run(name, func(t *testing.T) {
			text := c.head
			if c.want == "" {
				text += content
			}
			for at := range min(len(text), 200) {
				var s Scanner
				err := s.Scan([]byte(text[:at]))
				if err == nil {
					err = s.Scan([]byte(text[at:]))
				}
				require.Equal(t, c.want, fault(t, err), "cut at %d", at)
				require.Equal(t, c.want, fault(t, s.Err()), "cut at %d", at)
			}
			var s Scanner
			var err error
			for i := 0; i < len(text) && err == nil; i++ {
				err = s.Scan([]byte{text[i]})
			}
			require.Equal(t, c.want, fault(t, err), "byte by byte")
		})
	}
}

func TestTrailers(t *testing.T) {
	require.NoError(t, CheckTrailer(nil))
	require.NoError(t, CheckTrailer(http.Header{"A": {"b"}}))
	require.Equal(t, FaultTrailer, fault(t, CheckTrailer(http.Header{"A": {"b"}, "A B": {"c"}})))
}

// FuzzScanner checks that package net/http reads each head that is accepted, and ends it at the same place.
func FuzzScanner(f *testing.F) {
	for _, c := range faultsOf {
		if len(c.head) < maxLineBytes {
			f.Add([]byte(c.head))
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var s Scanner
		end := 0
		for ; end < len(b) && s.next != partContent; end++ {
			if s.Scan(b[end:end+1]) != nil {
				return
			}
		}
		if s.next != partContent {
			return
		}
		r := bufio.NewReader(strings.NewReader(string(b[:end]) + content))
		a, err := http.ReadResponse(r, nil) //nolint:bodyclose // The content is read from r.
		for err == nil && a.StatusCode < http.StatusOK {
			a, err = http.ReadResponse(r, nil) //nolint:bodyclose // The content is read from r.
		}
		if err != nil && strings.Contains(err.Error(), "bad trailer key") {
			return
		}
		require.NoError(t, err)
		require.NoError(t, CheckTrailer(a.Header))
		rest, err := io.ReadAll(r)
		require.NoError(t, err)
		require.Equal(t, content, string(rest))
	})
}

// usualHead is the head of an answer like those of backend servers.
const usualHead = "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nX-Request-Id: 5fb033c892107c2e\r\n" +
	"Stamp: 5fb033c892107c2e-17\r\nLoad: 3,0,16\r\nWeights: 12\r\nKeep-Alive: timeout=5\r\n" +
	"Date: Mon, 07 Dec 2026 03:12:46 GMT\r\nContent-Length: 12\r\n\r\n"

func TestScanOfAWholeHeadDoesNotAllocate(t *testing.T) {
	b := []byte(usualHead)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		var s Scanner
		if err := s.Scan(b); err != nil {
			panic(err)
		}
	}))
}

// BenchmarkHead compares the scan of a head with its reading by package net/http.
func BenchmarkHead(b *testing.B) {
	head := []byte(usualHead)
	b.Run("scan", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			var s Scanner
			if err := s.Scan(head); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		b.ReportAllocs()
		in := strings.NewReader(usualHead)
		r := bufio.NewReader(in)
		for range b.N {
			in.Reset(usualHead)
			r.Reset(in)
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				b.Fatal(err)
			}
			if err := a.Body.Close(); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
				b.Fatal(err)
			}
		}
	})
}
