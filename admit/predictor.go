package admit

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// predictorKeys bounds the pairs of service and account an agent remembers:
	// 380 accounts at five endpoints of different services.
	predictorKeys = 2048
	// smoothing is the weight of the newest observation.
	smoothing = 0.1
	// minPrefill is the smallest number of computed prompt tokens whose time
	// tells the prefill speed. Below it the first decode step dominates, up to
	// 64 ms against 25 ms for 1,000 tokens at 40,000 a second.
	minPrefill = 1000
	// defaultOutput and defaultService are used before any observation.
	defaultOutput  = 128
	defaultService = time.Second
)

// Estimate is a predicted cost.
type Estimate struct {
	// Output is the number of output tokens.
	OutputTokens int64
	// Service is the time from dispatch to the end of the response.
	ServiceTime time.Duration
}

// Observation is what a finished request cost.
type Observation struct {
	// Computed is the number of prompt tokens that were not in the cache.
	ComputedTokens int64
	OutputTokens   int64
	// Queued is true when another prefill delayed this one inside the endpoint.
	Queued bool
	// First is the time from dispatch to the first token, 0 when the answer
	// doesn't show it; Total is the time to the end.
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
}

type predictorKey struct{ service, account string }

// mean is an exponentially weighted mean, which starts as the plain mean so
// that the first observation doesn't weigh more than the next ones.
type mean struct {
	n     int
	value float64
}

func (m *mean) add(v float64) {
	m.n++
	m.value += (v - m.value) * max(smoothing, 1/float64(m.n))
}

type history struct{ output, decode mean }

// Predictor estimates output length and service time per service and account
// from what earlier requests really used, never from the caller's limits.
// Methods are safe for concurrent use.
type Predictor struct {
	mu   sync.Mutex
	keys *lru.Cache[predictorKey, *history]
	// prefillTime and prefillTokens are means over the same requests; their
	// ratio weighs each token alike. A mean of ratios overweighs short prompts.
	prefillTime, prefillTokens mean
}

// NewPredictor returns a predictor without observations.
func NewPredictor() *Predictor {
	keys, err := lru.New[predictorKey, *history](predictorKeys)
	if err != nil {
		panic(err) // only for a size that isn't positive
	}
	return &Predictor{keys: keys}
}

// Predict estimates a request that has computed prompt tokens to prefill. An
// account without observations is estimated as its service.
func (p *Predictor) Predict(service, account string, computed int64) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.keys.Get(predictorKey{service, account})
	if !ok {
		h, ok = p.keys.Get(predictorKey{service: service})
	}
	if !ok {
		return Estimate{OutputTokens: defaultOutput, ServiceTime: defaultService}
	}
	seconds := h.decode.value + float64(max(0, computed))*p.secondsPerToken()
	return Estimate{OutputTokens: int64(h.output.value + 0.5), ServiceTime: time.Duration(seconds * float64(time.Second))}
}

// Prefill estimates the time to compute prompt tokens, zero when unknown.
func (p *Predictor) Prefill(computed int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(max(0, computed)) * p.secondsPerToken() * float64(time.Second))
}

// Observe records a finished request.
func (p *Predictor) Observe(service, account string, o Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decode := o.TotalTime
	if o.ComputedTokens >= minPrefill && o.TimeToFirstToken > 0 {
		decode -= o.TimeToFirstToken
		if !o.Queued {
			p.prefillTime.add(o.TimeToFirstToken.Seconds())
			p.prefillTokens.add(float64(o.ComputedTokens))
		}
	}
	for _, k := range []predictorKey{{service, account}, {service: service}} {
		h, ok := p.keys.Get(k)
		if !ok {
			h = &history{}
			p.keys.Add(k, h)
		}
		h.output.add(float64(o.OutputTokens))
		h.decode.add(decode.Seconds())
	}
}

// PrefillSpeed returns the observed prompt tokens per second, zero when unknown.
func (p *Predictor) PrefillSpeed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prefillTime.value <= 0 {
		return 0
	}
	return int64(p.prefillTokens.value / p.prefillTime.value)
}

// secondsPerToken returns the observed prefill time; the caller holds mu.
func (p *Predictor) secondsPerToken() float64 {
	if p.prefillTokens.value <= 0 {
		return 0
	}
	return p.prefillTime.value / p.prefillTokens.value
}
