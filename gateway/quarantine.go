package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/quarantine"
)

const (
	// startGrace is the time after a response's first byte for which its endpoint must
	// live for the request to count as harmless.
	startGrace = 100 * time.Millisecond
	// suspectRetryAfter is the retry delay of a request that waits for the trial or the probe
	// of another one.
	suspectRetryAfter = 400 * time.Millisecond
	// trialWait is how long a request that was at a crashed endpoint waits to be sent
	// again: the crash has to be known everywhere, and a trial may be in progress.
	trialWait = 400 * time.Millisecond
	// maxPartIDBytes bounds the ids of parts in log lines and in the store.
	maxPartIDBytes = 64
	// crashProbeTimeout bounds the probe of an endpoint whose connection broke.
	crashProbeTimeout = 300 * time.Millisecond
	// aliveTime is how long an endpoint counts as alive after a probe.
	aliveTime = 500 * time.Millisecond
)

// enterQuarantine asks whether the request may be sent. The last part of a prompt belongs
// to the request alone and can't be recognized in another one. All others are checked:
// each may crash endpoints, and the size of the request's headers bounds their number.
func (x *exchange) enterQuarantine() quarantine.Decision {
	shared := x.info.PromptParts[:max(0, len(x.info.PromptParts)-1)]
	if x.g.Quarantine == nil || len(shared) == 0 {
		return quarantine.Decision{}
	}
	if x.parts == nil {
		for _, p := range shared {
			x.parts = append(x.parts, quarantine.Part{Service: x.service, ID: boundedID(p.ID)})
		}
	}
	return x.g.Quarantine.Enter(x.parts, time.Now())
}

// boundedID returns the id of a part, or a hash in place of a long id.
func boundedID(id string) string {
	if len(id) > maxPartIDBytes {
		return fmt.Sprintf("xxh64:%016x", xxhash.Sum64String(id))
	}
	return id
}

// quarantined returns the refusal of a request that was not sent because of a part of its
// prompt.
func (x *exchange) quarantined(d quarantine.Decision) *Refusal {
	r := &Refusal{Status: http.StatusServiceUnavailable, Outcome: "suspect_prompt_part", RetryAfter: suspectRetryAfter, Err: &quarantineError{d}}
	if d.Verdict == quarantine.Blocked {
		r.Outcome, r.RetryAfter = "blocked_prompt_part", max(suspectRetryAfter, time.Until(d.Until))
	}
	return r
}

// quarantineError names the part of a prompt for which a request was not sent.
type quarantineError struct{ decision quarantine.Decision }

func (e *quarantineError) Error() string {
	p := e.decision.Part
	if e.decision.Verdict == quarantine.Blocked {
		return "prompt part " + p.ID + " has crashed endpoints of service " + p.Service
	}
	return "prompt part " + p.ID + " is on trial at service " + p.Service
}

// observeFailure reports to the quarantine that an attempt's connection broke, if its
// endpoint has crashed.
func (x *exchange) observeFailure(c choice) {
	if c.pass == nil || c.pass.Ended() || x.ctx.Err() != nil {
		return
	}
	crash := quarantine.Crash{Endpoint: c.endpoint.ID, BootID: x.g.Directory.Incarnation(c.endpoint.ID).BootID}
	if !x.g.crashes.crashed(crash, c.endpoint.Address) {
		return
	}
	x.g.Log.Warn("endpoint crashed with a request", zap.String("request", x.info.ID), zap.String("endpoint", crash.Endpoint), zap.String("boot", crash.BootID))
	c.pass.Crashed(crash, time.Now())
}

// observeBreak is observeFailure for an attempt whose response broke off.
func (x *exchange) observeBreak(p *response) {
	p.checkHarmless()
	x.observeFailure(p.choice)
}

// crashDetector finds out whether an endpoint has crashed after a connection to it broke.
// Its zero value is ready to use, and it is safe for concurrent use.
type crashDetector struct {
	mu     sync.Mutex
	probes map[quarantine.Crash]*crashProbe
}

// crashProbe is the probe of one incarnation of an endpoint.
type crashProbe struct {
	once    sync.Once
	crashed bool
	// expires is when the result is forgotten.
	expires time.Time
}

// crashed reports whether the host of an endpoint refuses connections, as it does when the
// endpoint's process has ended. Concurrent callers share a probe.
func (d *crashDetector) crashed(c quarantine.Crash, address string) bool {
	p := d.probe(c, time.Now())
	p.once.Do(func() { p.crashed = refusesConnections(address) })
	return p.crashed
}

// probe returns the current probe of an incarnation.
func (d *crashDetector) probe(c quarantine.Crash, now time.Time) *crashProbe {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, p := range d.probes {
		if now.After(p.expires) {
			delete(d.probes, k)
		}
	}
	if d.probes == nil {
		d.probes = map[quarantine.Crash]*crashProbe{}
	}
	p := d.probes[c]
	if p == nil {
		p = &crashProbe{expires: now.Add(crashProbeTimeout + aliveTime)}
		d.probes[c] = p
	}
	return p
}

// refusesConnections reports whether nothing listens at an address.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent
	return false
}
