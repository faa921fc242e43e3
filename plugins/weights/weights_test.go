package weights

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/kernel"
)

// Guards against calls before the wait that the store requested is over, and against
// statuses that are reported as the wrong error.
func TestStat(t *testing.T) {
	is := is.New(t)
	status, calls, path := http.StatusOK, 0, ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		path = r.Method + " " + r.URL.EscapedPath()
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(status)
	}))
	defer srv.Close()
	ctx := context.Background()
	d, err := kernel.Load[infra.WeightStore](ctx, "weights.http", kernel.Settings{Address: srv.URL})
	is.NoErr(err)
	is.NoErr(d.Stat(ctx, "org/m", "v1"))
	is.Equal(path, "HEAD /org%2Fm/v1")
	for s, want := range map[int]error{404: infra.ErrNotFound, 503: infra.ErrUnavailable, 403: &infra.Error{Code: infra.Invalid}} {
		status = s
		is.True(errors.Is(d.Stat(ctx, "m", "v1"), want))
	}
	status = http.StatusTooManyRequests
	is.True(errors.Is(d.Stat(ctx, "m", "v1"), infra.ErrRateLimited))
	before := calls
	var pe *infra.Error
	is.True(errors.As(d.Stat(ctx, "m", "v1"), &pe))
	is.Equal(calls, before)
	is.True(pe.Code == infra.RateLimited && pe.RetryAfter > 25*time.Second)
}
