package fleetsim

import (
	"net/http"
	"slices"
	"time"
)

const (
	// latencyTarget is the target for the 95th percentile of the time to first token,
	// from the design size in docs/design.md.
	latencyTarget = 330 * time.Millisecond
	// behindLongWindow is the time after the arrival of a long request in which other
	// requests may be queued behind it.
	behindLongWindow = 500 * time.Millisecond
)

// Result holds the figures of a run. Durations are times to first token of the
// requests to the large service that are not long, unless stated otherwise.
type Result struct {
	// Requests is the number of requests that arrived after the warm-up, without the
	// abandoned ones.
	Requests int
	// HitRate is the share of prompt tokens that were cached, of all engines.
	HitRate       float64
	P50, P95, P99 time.Duration
	// RecomputedTokens is the number of prompt tokens that were computed again.
	RecomputedTokens int
	// SurgeWithinTarget is the share of requests during surges whose first token
	// arrived within latencyTarget.
	SurgeWithinTarget float64
	// P99BehindLong covers requests that arrive within behindLongWindow after a long
	// one.
	P99BehindLong time.Duration
	// P99Check covers the checks of the small service.
	P99Check time.Duration
	// P99Straggler covers requests that arrive while an engine is slow.
	P99Straggler time.Duration
	// Hedges is the number of hedged attempts.
	Hedges int
	// Refusals is the number of responses with status 503, Failures the number of
	// other errors and incomplete streams.
	Refusals, Failures int
	// CrossRegionBytes counts the bytes between entries and agents of different
	// regions, in both directions.
	CrossRegionBytes int64
	// WastedTokens is the number of tokens generated for cancelled attempts,
	// WastedPromptTokens the number of prompt tokens computed for them.
	WastedTokens, WastedPromptTokens int
}

// sample is the latency of one successful request.
type sample struct {
	request         *request
	timeToFirstByte time.Duration
}

// collector gathers the samples and counts of a run.
type collector struct {
	Result
	samples            []sample
	longArrivals       []time.Duration
	stragglerIntervals []interval
	surgeCounts        [2]int // requests during surges: within the target, all
}

// add counts the response to a request. Abandoned requests are ignored.
func (c *collector) add(s *sim, req *request, resp response) {
	if req.abandoned {
		return
	}
	if req.long {
		c.longArrivals = append(c.longArrivals, req.arrival)
	}
	if req.arrival < warmUp {
		return
	}
	c.Requests++
	switch {
	case resp.status == http.StatusServiceUnavailable:
		c.Refusals++
	case !resp.complete:
		c.Failures++
	}
	if req.service == serviceLarge && s.workload.surging(req.arrival) {
		c.surgeCounts[1]++
		if resp.status == http.StatusOK && resp.timeToFirstByte <= latencyTarget {
			c.surgeCounts[0]++
		}
	}
	if resp.status == http.StatusOK && resp.timeToFirstByte > 0 {
		c.samples = append(c.samples, sample{req, resp.timeToFirstByte})
	}
}

// addFleetCounts adds the counts of the engines and entries.
func (c *collector) addFleetCounts(s *sim, requests []request) {
	prompt, cached := 0, 0
	for _, e := range s.fleet.Engines {
		n := e.Counts()
		prompt += n.PromptTokens
		cached += n.CachedTokens
		c.WastedTokens += n.WastedTokens
		c.WastedPromptTokens += n.WastedPromptTokens
	}
	c.HitRate = float64(cached) / float64(max(1, prompt))
	c.RecomputedTokens = prompt - cached - uniquePromptTokens(requests)
	c.CrossRegionBytes = s.crossRegionBytes.Load()
	c.stragglerIntervals = s.stragglerIntervals
	for _, reg := range s.registries {
		families, _ := reg.Gather()
		for _, f := range families {
			if f.GetName() != "citrontiller_entry_hedges_total" {
				continue
			}
			for _, m := range f.Metric {
				c.Hedges += int(m.Counter.GetValue())
			}
		}
	}
}

func (c *collector) result() Result {
	var all, behind, check, slow []time.Duration
	for _, x := range c.samples {
		switch {
		case x.request.service == serviceSmall:
			check = append(check, x.timeToFirstByte)
			continue
		case x.request.long:
			continue
		}
		all = append(all, x.timeToFirstByte)
		if c.isBehindLong(x.request.arrival) {
			behind = append(behind, x.timeToFirstByte)
		}
		if slices.ContainsFunc(c.stragglerIntervals, func(p interval) bool { return x.request.arrival >= p.from && x.request.arrival < p.to }) {
			slow = append(slow, x.timeToFirstByte)
		}
	}
	r := c.Result
	r.P50, r.P95, r.P99 = quantile(all, .5), quantile(all, .95), quantile(all, .99)
	r.P99BehindLong, r.P99Check, r.P99Straggler = quantile(behind, .99), quantile(check, .99), quantile(slow, .99)
	r.SurgeWithinTarget = float64(c.surgeCounts[0]) / float64(max(1, c.surgeCounts[1]))
	return r
}

func (c *collector) isBehindLong(at time.Duration) bool {
	return slices.ContainsFunc(c.longArrivals, func(l time.Duration) bool { return at > l && at < l+behindLongWindow })
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}
