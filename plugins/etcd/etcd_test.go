package etcd

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/kernel"
)

// Guards against reporting a write that may have taken effect as not written, and the
// reverse.
func TestWriteErrors(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		name   string
		handle http.HandlerFunc
		want   infra.Code
	}{
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, infra.Unknown},
		{"no leader", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, infra.Unknown},
		{"timeout", func(_ http.ResponseWriter, r *http.Request) {
			// The server detects a closed connection only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, infra.Unknown},
		{"truncated response", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"succ`)) }, infra.Unknown},
		{"rate limited", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Retry-After", "7"); w.WriteHeader(429) }, infra.RateLimited},
		{"bad request", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(400) }, infra.Invalid},
		{"conflict", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }, infra.Conflict},
	} {
		srv := httptest.NewServer(tt.handle)
		err := swap(is, srv.URL)
		srv.Close()
		var pe *infra.Error
		is.True(errors.As(err, &pe))
		is.Equal(tt.name+" "+string(pe.Code), tt.name+" "+string(tt.want))
		is.Equal(pe.RetryAfter == 7*time.Second, tt.name == "rate limited")
		is.True(errors.Is(swap(is, srv.URL), infra.ErrUnavailable)) // the server is closed: nothing was sent
	}
}

func swap(is *is.I, url string) error {
	ctx := context.Background()
	d, err := kernel.Load[*Driver](ctx, "kv.etcd", kernel.Settings{Address: url, Timeout: 100 * time.Millisecond})
	is.NoErr(err)
	defer func() { is.NoErr(d.Cleanup()) }()
	_, err = d.CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
	return err
}
