package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

const (
	// contactTime is the time after an unplanned fault for which it excuses a loss.
	contactTime = 4 * time.Second
	// lastSixth is the time after SIGTERM at which the last sixth of the grace begins; a request that
	// still ran then may be cut if it was sent until lateTime.
	lastSixth = graceTime * 5 / 6
	// logTime is the format of the times in messages, as in the gateways' logs.
	logTime = "05.000"
)

// check compares the result of a request with the runs that the endpoints counted.
func (s *system) check(r result) {
	runs := s.runs.Of(r.id)
	if r.kind == "book" && len(runs) > 1 {
		s.fail("%s: non-idempotent request ran %d times", r.id, len(runs))
	}
	if len(runs) > 0 && r.sentLate() {
		s.ranLate.Add(1)
	}
	switch {
	case r.status == http.StatusServiceUnavailable, r.status == http.StatusRequestTimeout && s.bodyLate(r):
		s.refused.Store(r.id, true)
	case r.status/100 == 4:
		s.fail("%s: status %d for a valid request", r.id, r.status)
	case r.err != nil:
		s.checkLoss(r, runs)
	case r.status == http.StatusOK:
		s.checkBody(r)
	}
}

// bodyLate reports whether a request's deadline was reached before its last byte was written,
// or may have been reached before its gateway went on after an unplanned fault.
func (s *system) bodyLate(r result) bool {
	faulty := r.incarnation == nil || r.incarnation.process.faults.since(r.startedAt)
	return r.endedAt.Sub(r.startedAt) >= r.deadline && (faulty || r.writtenAt.Sub(r.startedAt) >= r.deadline)
}

// checkRefused checks that no request ran that was answered as not run, then or later.
func (s *system) checkRefused() {
	s.refused.Range(func(id, _ any) bool {
		if n := s.runs.Count(id.(string)); n > 0 {
			s.fail("%s: response reports that the request did not run, but it ran %d times", id, n)
		}
		return true
	})
}

// checkBody checks a complete response.
func (s *system) checkBody(r result) {
	want := platformtest.ResponseBody(r.id)
	switch r.kind {
	case "stream":
		want = events(r.id, platformtest.StreamEvents)
	case "long":
		want = events(r.id, max(1, strings.Count(r.body, "id: ")))
		if took := r.endedAt.Sub(r.sentAt); took < r.lasts {
			s.fail("%s: complete after %v, the stream lasts %v", r.id, took, r.lasts)
		}
	}
	if r.body != want || r.header.Get("Citrontiller-Request-Id") != r.id {
		s.fail("%s: got %q, want %q", r.id, r.body, want)
	}
	s.served.Add(1)
}

// events returns the first n events of a request's stream.
func events(id string, n int) string {
	var out strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: %s\n\n", i, id)
	}
	return out.String()
}

// sentLate reports whether a request was sent later than lateTime after its gateway's SIGTERM.
func (r result) sentLate() bool {
	if r.incarnation == nil {
		return false
	}
	terminated := r.incarnation.terminatedAt()
	return !terminated.IsZero() && r.sentAt.Sub(terminated) > lateTime
}

// checkLoss checks a request whose connection ended without a complete response. In a planned
// stop this must not happen once an endpoint has run it, unless it was sent in time
// and still ran near the end of the grace, or its time was up.
func (s *system) checkLoss(r result, runs []platformtest.Run) {
	if r.gaveUp() || r.incarnation == nil || len(runs) == 0 {
		return
	}
	terminated := r.incarnation.terminatedAt()
	if terminated.IsZero() || r.endedAt.Before(terminated) || r.endedAt.Sub(r.startedAt) >= min(r.deadline, timeouts[r.kind]) {
		return
	}
	sent, ended := r.sentAt.Sub(terminated), r.endedAt.Sub(terminated)
	if !r.sentLate() && ranUntil(runs, r.endedAt).Sub(terminated) >= lastSixth {
		return
	}
	if s.excused(r, runs) {
		return
	}
	s.fail("%s: lost by %s, SIGTERM at %s, head sent after %v, last byte after %v, cut after %v, lasts %v, status %d, run by %s: %v",
		r.id, r.incarnation.process.name, terminated.Format(logTime), r.startedAt.Sub(terminated), sent, ended, r.lasts, r.status, runs[len(runs)-1].Endpoint, r.err)
}

// excused reports whether an unplanned fault has hit the request's gateway or endpoints since
// contactTime before it, or an endpoint has broken it off.
func (s *system) excused(r result, runs []platformtest.Run) bool {
	since := r.startedAt.Add(-contactTime)
	if r.incarnation.process.faults.since(since) {
		return true
	}
	for _, run := range runs {
		if run.Broken || s.endpoint(run.Endpoint).faults.since(since) {
			return true
		}
	}
	return false
}

// ranUntil returns when the last run ended, or now if one goes on.
func ranUntil(runs []platformtest.Run, now time.Time) time.Time {
	var last time.Time
	for _, run := range runs {
		switch {
		case run.EndedAt.IsZero():
			return now
		case run.EndedAt.After(last):
			last = run.EndedAt
		}
	}
	return last
}
