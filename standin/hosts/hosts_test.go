package hosts

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/plugins/httpsd"
)

// Guards against a host list that is sent at every poll although it has not
// changed, and against a client that misses a change after a 304 response.
func TestUnchangedListIsNotSent(t *testing.T) {
	is := is.New(t)
	s := New()
	srv := httptest.NewServer(s)
	defer srv.Close()
	var d httpsd.Driver
	is.NoErr(d.Provision(t.Context(), kernel.Settings{Address: srv.URL}))
	host := infra.Host{ID: "a", Service: "s", Kind: infra.Plain, Address: "10.0.0.1:80", State: infra.Live}
	s.Set([]infra.Host{host})
	for range 3 {
		list, err := d.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(list, []infra.Host{host})
	}
	is.Equal(s.NotModified(), 2)
	s.SetState("a", infra.Leaving)
	list, err := d.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(list[0].State, infra.Leaving)
}
