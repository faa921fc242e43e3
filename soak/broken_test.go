package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

const (
	// uploadBytes is the size of a request body that doesn't fit into the buffers of the
	// connections to an endpoint that doesn't read.
	uploadBytes = 16 << 20
	// brokenRequests is the number of requests while all endpoints answer wrongly.
	brokenRequests = 30
)

// Guards against broken answers that reach callers as successes: an answer whose status is
// 000, one in whose head a name holds a blank, and the part of one that its endpoint sent
// before it reset the connection during a long upload. Sound answers are delivered before
// and after.
func TestBrokenAnswersAreNotDelivered(t *testing.T) {
	binary := buildGateway(t)
	for _, fault := range []platformtest.Fault{platformtest.ZeroStatus, platformtest.MalformedName, platformtest.EarlyReset} {
		t.Run(fault.String(), func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t, binary, 1, 1, soakMemoryMB)
			gateway := s.processes[0]
			s.sendStreams(gateway, 1, time.Second) // until it is ready
			for _, e := range s.endpoints {
				e.SetFault(fault)
			}
			for i := range brokenRequests {
				status, err := upload(gateway, fmt.Sprint("u", i))
				is.True(err != nil || status == http.StatusBadGateway || status == http.StatusServiceUnavailable)
			}
			for _, e := range s.endpoints {
				e.SetFault(platformtest.NoFault)
			}
			served := s.served.Load()
			s.sendStreams(gateway, 4, 3*time.Second)
			is.True(s.served.Load() > served) // the endpoints are used again
			is.Equal(s.failures.Load(), int64(0))
		})
	}
}

// upload sends a request with a long body that must not be repeated, on a connection of its
// own. It returns an error if the answer isn't complete.
func upload(p *process, id string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.listenAddr+"/book/x", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return 0, err
	}
	req.Host = "h"
	req.Header.Set("Citrontiller-Request-Id", id)
	req.Header.Set("Citrontiller-Credential", usualKey)
	req.Header.Set("Citrontiller-Deadline-Ms", fmt.Sprint(shortDeadline.Milliseconds()))
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
