package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// addHeads adds an endpoint that answers each request with the request's id, the stamp, more
// header lines and what follows the head, and closes the connection.
func (f *fleet) addHeads(t *testing.T, id, lines, rest string) {
	f.addRaw(t, id, func(c net.Conn, r *bufio.Reader, _ int) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%s\r\n%s", readRequest(r), lines, rest)
	})
}

// Guards against a response of HTTP/1.0 with a transfer encoding: net/http drops the field, and
// the caller got the chunk sizes as a part of a complete success.
func TestTransferEncodingOfHTTP10IsNoAnswer(t *testing.T) {
	for _, path := range []string{"/book/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			f := newFleet(t)
			f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
				_, _ = fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\n\n\r\n0\r\n\n\n", readRequest(r))
			})
			status, _ := f.callID(t, path, "x")
			is.New(t).Equal(status, http.StatusBadGateway) // it may have run
		})
	}
}

// Guards against a response in whose head the name of a field holds a byte that no name may
// hold. net/http accepts blanks in names, and takes a line that begins with one for a part of
// the value before it: a field that frames the body isn't recognized, and the caller got
// bytes that aren't the body as a complete success.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) {
	const body = "id: 1\ndata: a\n\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for name, tc := range map[string]struct{ lines, rest string }{
		"blank in the name":         {length + "X Y: 1\r\n", body},
		"blank after the name":      {length + "X-Y : 1\r\n", body},
		"blank after the length":    {fmt.Sprintf("Content-Length : %d\r\n", len(body)), body + body},
		"blank after the framing":   {"Transfer-Encoding : chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		"blank in a second length":  {length + "Content-Length : 1\r\n", body},
		"blank first":               {" X-Y: 1\r\n" + length, body},
		"tab first":                 {"\tX-Y: 1\r\n" + length, body},
		"blank before the length":   {" " + length, body + body},
		"blank before the framing":  {" Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		"blank after the tab":       {length + "X\t Y: 1\r\n", body},
		"tab":                       {length + "X-Y\t: 1\r\n", body},
		"zero byte":                 {length + "X\x00Y: 1\r\n", body},
		"control byte":              {length + "X\x1bY: 1\r\n", body},
		"carriage return":           {length + "X\rY: 1\r\n", body},
		"delete":                    {length + "X\x7fY: 1\r\n", body},
		"control byte first":        {"\x01X-Y: 1\r\n" + length, body},
		"control byte in framing":   {"Content-Length\x01: 1\r\n" + length, body},
		"separator":                 {length + "X(Y): 1\r\n", body},
		"byte that isn't ASCII":     {length + "X\xe9Y: 1\r\n", body},
		"no name":                   {length + ": 1\r\n", body},
		"line without a field":      {length + "X-Y\r\n", body},
		"control byte in its value": {length + "X-Y: \x01\r\n", body},
	} {
		for _, path := range []string{"/book/1", "/draft/1"} {
			t.Run(name+path, func(t *testing.T) {
				f := newFleet(t)
				f.addHeads(t, "e0", tc.lines, tc.rest)
				status, _ := f.callID(t, path, "x")
				is.New(t).Equal(status, http.StatusBadGateway) // it may have run
			})
		}
	}
}

// Guards against a request that fails although it may be repeated: its first response is
// malformed.
func TestMalformedFieldNameIsRetried(t *testing.T) {
	for _, path := range []string{"/read/1", "/tag/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.addHeads(t, "e0", "Content-Length : 4\r\n", "fine")
			status, _ := f.callID(t, path, "x")
			is.Equal(status, http.StatusBadGateway)
			f.add(t, "e1", []responder{ok("own\n\n")})
			status, text := f.callID(t, path, "x")
			is.Equal(status, http.StatusOK)
			is.Equal(text, "own\n\n")
		})
	}
}

// tokenBytes are all bytes of which names of fields consist.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// Guards against sound responses that are taken for malformed ones.
func TestSoundHeadsAreDelivered(t *testing.T) {
	const body = "id: 1\ndata: a\n\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x;ext=1\r\n%s\r\n0\r\nTrailing: 1\r\n\r\n", len(body), body)
	for name, tc := range map[string]struct{ lines, rest string }{
		"blanks in values":       {length + "X-Y: \t a b\tc \t\r\nX-Z:\r\nX-A:1\r\n", body},
		"long value":             {length + "X-Y: " + strings.Repeat("long value ", 5000) + "\r\n", body},
		"many fields":            {length + strings.Repeat("X-Y: 1\r\n", 2000), body},
		"all bytes of names":     {length + tokenBytes + ": 1\r\n", body},
		"bytes outside of ASCII": {length + "X-Y: \xe9\xff\r\n", body},
		"colons in values":       {length + "X-Y: :a: b:\r\n", body},
		"line feeds only":        {strings.ReplaceAll(length, "\r", "") + "X-Y: 1\n", body},
		"chunks":                 {"Transfer-Encoding: chunked\r\nTrailer: Trailing\r\n", chunks},
		"no framing":             {"X-Y: 1\r\n", body},
		"closed":                 {length + "Connection: close\r\n", body},
	} {
		for _, path := range []string{"/book/1", "/read/1", "/draft/1", "/tag/1"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				f.addHeads(t, "e0", tc.lines, tc.rest)
				status, text := f.callID(t, path, "x")
				is.Equal(status, http.StatusOK)
				is.Equal(text, body)
			})
		}
	}
	t.Run("names and values", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		f.addHeads(t, "e0", length+tokenBytes+": a \t b \r\n", body)
		resp, err := f.open(f.request(t, http.MethodPost, "/book/1", "x", "b"))
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.Header.Get(tokenBytes), "a \t b")
	})
}

// uploadBytes is the size of a request body that doesn't fit into the buffers of a
// connection whose peer doesn't read.
const uploadBytes = 16 << 20

// allowUploads sets a limit of request bodies that allows uploadBytes.
func (f *fleet) allowUploads() {
	c := testConfig
	c.Version++
	c.Limits.MaxBodyBytes = uploadBytes
	c.Index()
	f.gateway.Config.SetIfNewer(&c)
}

// Guards against a response without framing that its endpoint resets while the request body
// is still being sent, and that reaches the caller as a complete success: the reset is
// reported to the sender of the body, and the reader sees the end of the connection.
func TestResetDuringUploadIsNotTheEnd(t *testing.T) {
	const tries = 20
	body := strings.Repeat("b", uploadBytes)
	for _, path := range []string{"/book/1", "/draft/1"} {
		for name, kept := range map[string]bool{"new": false, "kept": true} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				f.allowUploads()
				f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, n int) {
					if kept {
						_, _ = io.WriteString(c, answer(readRequest(r)))
					}
					answerEarly(c, r, "200 OK", "", "id: 1\ndata: a\n\n")
					time.Sleep(time.Duration(n%4) * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0) // closing resets the connection
				})
				for i := range tries {
					if kept {
						status, _ := f.callID(t, "/book/1", fmt.Sprint("first", i))
						is.Equal(status, http.StatusOK)
					}
					resp, err := f.open(f.request(t, http.MethodPost, path, fmt.Sprint("r", i), body))
					is.NoErr(err)
					_, err = io.ReadAll(resp.Body)
					is.NoErr(resp.Body.Close())
					is.True(err != nil || resp.StatusCode == http.StatusBadGateway)
				}
			})
		}
	}
}

// answerEarly answers a request before its body has been read.
func answerEarly(c net.Conn, r *bufio.Reader, status, lines, rest string) {
	if req, err := http.ReadRequest(r); err == nil {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nStamp: s\r\n%s\r\n%s", status, req.Header.Get("Id"), lines, rest)
	}
}

// Guards against a sound response that is taken for one that was cut off, or dropped, because
// its endpoint answers while the request body is still being sent. The endpoint reads on, reads
// nothing more, or resets the connection, after it has ended its side or without that.
func TestEarlyResponseIsDelivered(t *testing.T) {
	const text = "id: 1\ndata: a\n\n"
	framings := map[string]struct{ lines, rest string }{
		"length": {fmt.Sprintf("Content-Length: %d\r\n", len(text)), text},
		"chunks": {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)},
		"none":   {"", text},
	}
	reset := func(_ *testing.T, c net.Conn, _ *bufio.Reader) { _ = c.(*net.TCPConn).SetLinger(0) }
	endings := map[string]struct {
		endsSide bool
		then     func(t *testing.T, c net.Conn, r *bufio.Reader)
	}{
		"reads on":           {true, func(_ *testing.T, _ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }},
		"reads no more":      {true, func(t *testing.T, _ net.Conn, _ *bufio.Reader) { <-t.Context().Done() }},
		"ends, then resets":  {true, reset},
		"resets immediately": {false, reset},
	}
	body := strings.Repeat("b", uploadBytes)
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge} {
		for framing, head := range framings {
			for ending, end := range endings {
				if framing == "none" && !end.endsSide {
					continue // not a whole response
				}
				t.Run(fmt.Sprint(status, framing, ending), func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t)
					f.allowUploads()
					f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
						answerEarly(c, r, fmt.Sprintf("%d Early", status), head.lines, head.rest)
						if end.endsSide {
							_ = c.(*net.TCPConn).CloseWrite()
						}
						end.then(t, c, r)
					})
					for _, path := range []string{"/book/1", "/draft/1"} {
						resp, err := f.open(f.request(t, http.MethodPost, path, "x", body))
						is.NoErr(err)
						got, err := io.ReadAll(resp.Body)
						is.NoErr(err)
						is.NoErr(resp.Body.Close())
						is.Equal(resp.StatusCode, status)
						is.Equal(string(got), text)
					}
				})
			}
		}
	}
}

// Guards against a broken response on a connection in use again, which the check of a new one
// would miss.
func TestMalformedFieldNameOnKeptConnection(t *testing.T) {
	for _, path := range []string{"/book/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.addRaw(t, "e0", func(c net.Conn, r *bufio.Reader, _ int) {
				_, _ = io.WriteString(c, answer(readRequest(r)))
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length : 4\r\n\r\nid: 1\ndata: a\n\n", readRequest(r))
			})
			status, _ := f.callID(t, "/book/1", "first")
			is.Equal(status, http.StatusOK)
			status, _ = f.callID(t, path, "second")
			is.Equal(status, http.StatusBadGateway) // it may have run
		})
	}
}

// Guards against a stream whose continuation is broken, and that reaches the caller as
// complete: with a malformed head, or reset while the request body is still being sent.
func TestBrokenContinuationIsNotTheEnd(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	body := strings.Repeat("b", uploadBytes)
	for name, lines := range map[string]string{"malformed head": "Content-Length : 15\r\n", "reset during the upload": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 10 {
				f := newFleet(t)
				f.allowUploads()
				serve := func(c net.Conn, r *bufio.Reader, _ int) {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n", req.Header.Get("Id"))
					if req.Header.Get("Last-Event") == "" {
						_, _ = io.Copy(io.Discard, req.Body)
						_, _ = fmt.Fprintf(c, "%sContent-Length: 99\r\n\r\n%s", head, first) // broken off
						return
					}
					if lines != "" {
						_, _ = io.Copy(io.Discard, req.Body)
						_, _ = io.WriteString(c, head+lines+"\r\n"+second)
						return
					}
					_, _ = io.WriteString(c, head+"\r\n"+second)
					time.Sleep(time.Duration(i%4) * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0) // closing resets the connection
				}
				f.addRaw(t, "e0", serve)
				f.addRaw(t, "e1", serve)
				resp, err := f.open(f.request(t, http.MethodPost, "/tag/1", fmt.Sprint("r", i), body))
				is.NoErr(err)
				_, err = io.ReadAll(resp.Body)
				is.NoErr(resp.Body.Close())
				is.Equal(resp.StatusCode, http.StatusOK) // the first event was whole
				is.True(err != nil)                      // the stream isn't
			}
		})
	}
}
