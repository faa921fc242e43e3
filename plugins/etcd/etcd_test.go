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

// Guards against a write reported as not written that may have taken effect,
// and the other way round.
func TestWriteErrors(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		name   string
		handle http.HandlerFunc
		want   infra.Code
	}{
		{"lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, infra.Unknown},
		{"leader", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, infra.Unknown},
		{"slow", func(_ http.ResponseWriter, r *http.Request) {
			// The server notices a closed connection only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, infra.Unknown},
		{"damaged", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"succ`)) }, infra.Unknown},
		{"limited", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Retry-After", "7"); w.WriteHeader(429) }, infra.RateLimited},
		{"refused", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(400) }, infra.Invalid},
		{"conflict", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }, infra.Conflict},
	} {
		srv := httptest.NewServer(tt.handle)
		err := swap(is, srv.URL)
		srv.Close()
		var pe *infra.Error
		is.True(errors.As(err, &pe))
		is.Equal(tt.name+" "+string(pe.Code), tt.name+" "+string(tt.want))
		is.Equal(pe.RetryAfter == 7*time.Second, tt.name == "limited")
		is.True(errors.Is(swap(is, srv.URL), infra.ErrUnavailable)) // closed: nothing was sent
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
