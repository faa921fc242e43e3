package fleetsim

import (
	"net/http"
	"slices"
	"time"
)

const (
	// target is the time to first token that 95 of 100 should have; source: the design size.
	target = 330 * time.Millisecond
	// behindTime after the arrival of a long job others may be behind it.
	behindTime = 500 * time.Millisecond
)

// Result holds the figures of a run. Times are to first token, of requests of
// the large service that are not long, unless named otherwise.
type Result struct {
	Requests      int
	HitRate       float64
	P50, P95, P99 time.Duration
	// Recomputed are the prompt tokens computed beyond once each.
	RecomputedTokens int
	// Peak is the share of requests answered within the target in the surge.
	SurgeWithinTarget float64
	// Behind is the 99th percentile of requests that arrive shortly after a long one.
	P99BehindLong time.Duration
	// Check is the 99th percentile of the checks of the small service.
	P99Check time.Duration
	// Straggler is the 99th percentile while an engine is slow.
	P99Straggler time.Duration
	Hedges       int
	// Refusals are answers that say "not run", Failures any other error or cut stream.
	Refusals, Failures int
	CrossRegionBytes   int64
	// Wasted are the tokens generated for cancelled attempts, WastedPrompt the
	// prompt tokens computed for them.
	WastedTokens, WastedPromptTokens int
}

type sample struct {
	job   *job
	first time.Duration
}

type collector struct {
	Result
	samples []sample
	longs   []time.Duration
	slow    []span
	peak    [2]int // within the target, all
}

func (c *collector) add(s *sim, j *job, a answer) {
	if j.leaves {
		return
	}
	if j.long {
		c.longs = append(c.longs, j.at)
	}
	if j.at < warmUp {
		return
	}
	c.Requests++
	switch {
	case a.status == http.StatusServiceUnavailable:
		c.Refusals++
	case !a.complete:
		c.Failures++
	}
	if j.service == serviceLarge && s.workload.surging(j.at) {
		c.peak[1]++
		if a.status == http.StatusOK && a.first <= target {
			c.peak[0]++
		}
	}
	if a.status == http.StatusOK && a.first > 0 {
		c.samples = append(c.samples, sample{j, a.first})
	}
}

// finish adds what the fleet counted.
func (c *collector) finish(s *sim, jobs []job) {
	prompt, cached := 0, 0
	for _, e := range s.fleet.Engines {
		n := e.Counts()
		prompt += n.PromptTokens
		cached += n.CachedTokens
		c.WastedTokens += n.WastedTokens
		c.WastedPromptTokens += n.WastedPromptTokens
	}
	c.HitRate = float64(cached) / float64(max(1, prompt))
	c.RecomputedTokens = prompt - cached - unique(jobs)
	c.CrossRegionBytes = s.crossed.Load()
	c.slow = s.slow
	for _, reg := range s.registry {
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
		case x.job.service == serviceSmall:
			check = append(check, x.first)
			continue
		case x.job.long:
			continue
		}
		all = append(all, x.first)
		if c.behind(x.job.at) {
			behind = append(behind, x.first)
		}
		if slices.ContainsFunc(c.slow, func(p span) bool { return x.job.at >= p.from && x.job.at < p.to }) {
			slow = append(slow, x.first)
		}
	}
	r := c.Result
	r.P50, r.P95, r.P99 = quantile(all, .5), quantile(all, .95), quantile(all, .99)
	r.P99BehindLong, r.P99Check, r.P99Straggler = quantile(behind, .99), quantile(check, .99), quantile(slow, .99)
	r.SurgeWithinTarget = float64(c.peak[0]) / float64(max(1, c.peak[1]))
	return r
}

func (c *collector) behind(at time.Duration) bool {
	return slices.ContainsFunc(c.longs, func(l time.Duration) bool { return at > l && at < l+behindTime })
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}
