package httpclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against a folded line or a faulty transfer encoding of a head that isn't found, or a
// line of a body or a value that is taken for one. The responses arrive on one connection, also
// byte by byte.
func TestHeadsAsSent(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, tc := range map[string]struct {
		responses []string
		want      error
	}{
		"sound":                   {[]string{"HTTP/1.1 200 OK\r\nA: 1\r\nB: \t 2 3 \r\nC:\r\n\r\n", next}, nil},
		"no fields":               {[]string{"HTTP/1.1 200 OK\r\n\r\n", next}, nil},
		"blank lines in the body": {[]string{"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n x\r\n\r\n\ty\n z\n", next}, nil},
		"line feeds only":         {[]string{"HTTP/1.1 200 OK\nA: 1\n\n x\n", next}, nil},
		"interim response":        {[]string{"HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n x\r\n", next}, nil},
		"first field":             {[]string{"HTTP/1.1 200 OK\r\n A: 1\r\n\r\n"}, ErrFoldedLine},
		"blank":                   {[]string{"HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n"}, ErrFoldedLine},
		"tab":                     {[]string{"HTTP/1.1 200 OK\r\nA: 1\r\n\tB: 1\r\n\r\n"}, ErrFoldedLine},
		"blanks only":             {[]string{"HTTP/1.1 200 OK\r\nA: 1\r\n  \r\n\r\n"}, ErrFoldedLine},
		"after line feeds only":   {[]string{"HTTP/1.1 200 OK\nA: 1\n B: 1\n\n"}, ErrFoldedLine},
		"second response":         {[]string{next, "HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n"}, ErrFoldedLine},
		"after interim response":  {[]string{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n"}, ErrFoldedLine},
		"after odd status line":   {[]string{"HTTP/1.1   100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n"}, ErrFoldedLine},
		"in interim response":     {[]string{"HTTP/1.1 103 Early Hints\r\nA: 1\r\n B: 1\r\n\r\n"}, ErrFoldedLine},
		"HTTP/1.0":                {[]string{"HTTP/1.0 200 OK\r\nTransfer-Encodin: 1\r\nTransfer-Encoding-X: 1\r\nX-Transfer-Encoding: 1\r\n\r\n"}, nil},
		"chunks":                  {[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", next}, nil},
		"chunks in HTTP/1.0":      {[]string{"HTTP/1.0 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n"}, ErrTransferEncoding},
		"other case":              {[]string{next, "HTTP/1.0 200 OK\r\ntransfer-ENCODING:chunked\r\n\r\n"}, ErrTransferEncoding},
	} {
		readers := map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader}
		for how, reader := range readers {
			t.Run(name+" "+how, func(t *testing.T) {
				is := is.New(t)
				var s headScanner
				var err error
				for _, response := range tc.responses {
					s.expect()
					_, copyErr := io.Copy(scanWriter{&s}, onlyReader{reader(strings.NewReader(response))})
					err = errors.Join(err, copyErr)
				}
				is.Equal(errors.Is(err, ErrFoldedLine), tc.want == ErrFoldedLine)
				is.Equal(errors.Is(err, ErrTransferEncoding), tc.want == ErrTransferEncoding)
			})
		}
	}
}

// scanWriter writes to a headScanner.
type scanWriter struct{ s *headScanner }

func (w scanWriter) Write(b []byte) (int, error) { return w.s.scan(b) }

// onlyReader hides the other methods of a reader.
type onlyReader struct{ io.Reader }

// Guards against a body on a connection in use again whose lines are taken for folded ones,
// and against a folded line there that isn't found.
func TestFoldedLineOnKeptConnection(t *testing.T) {
	is := is.New(t)
	const body = " a\r\n\r\n b\r\n"
	addr, closed := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		for _, lines := range []string{"", "", "X-A: 1\r\n X-B: 1\r\n"} {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), lines, body)
		}
	})
	transport := &Transport{Transport: &http.Transport{}, SendOnce: true}
	defer transport.CloseIdleConnections()
	for _, sound := range []bool{true, true, false} {
		req := newRequest(http.MethodGet, "A", nil)
		req.URL.Host = addr
		resp, err := transport.RoundTrip(req)
		is.Equal(err == nil, sound)
		if err != nil {
			is.True(errors.Is(err, ErrFoldedLine))
			continue
		}
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(string(text), body)
		is.Equal(len(closed), 0) // the connection is used again
	}
	<-closed
}

// Guards against bytes of an encrypted connection that are taken for a folded line.
func TestEncryptedConnectionIsNotScanned(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("encrypted ", 50_000)
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	defer s.Close()
	config := s.Client().Transport.(*http.Transport).TLSClientConfig
	client := NewClient(&Transport{Transport: &http.Transport{TLSClientConfig: config}})
	defer client.CloseIdleConnections()
	for range 3 {
		resp, err := client.Get(s.URL)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(len(text), len(body))
	}
}
