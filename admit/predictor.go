package admit

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxPredictorKeys bounds the pairs of service and client account for which
	// observations are kept: 380 accounts at five endpoints of different services.
	maxPredictorKeys = 2048
	// smoothing is the weight of the latest observation in a moving average.
	smoothing = 0.1
	// minPrefillTokens is the minimum number of computed prompt tokens of a request
	// that is used to measure the prefill speed. In shorter prefills the first decode
	// step dominates: it takes up to 64 ms, compared with 25 ms for 1,000 tokens at
	// 40,000 tokens per second.
	minPrefillTokens = 1000
	// defaultOutputTokens and defaultServiceTime are the estimates before any
	// observation.
	defaultOutputTokens = 128
	defaultServiceTime  = time.Second
)

// Estimate is the predicted cost of a request.
type Estimate struct {
	// OutputTokens is the length of the response in tokens.
	OutputTokens int64
	// ServiceTime is the time from dispatch to the end of the response.
	ServiceTime time.Duration
}

// Observation is the measured cost of a finished request.
type Observation struct {
	// ComputedTokens is the number of prompt tokens that were not in the cache.
	ComputedTokens int64
	// OutputTokens is the length of the response in tokens.
	OutputTokens int64
	// Queued is true when another prefill delayed this one at the endpoint.
	Queued bool
	// TimeToFirstToken is the time from dispatch to the first token, 0 when it was
	// not observed. TotalTime is the time from dispatch to the end of the response.
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
}

type predictorKey struct{ service, account string }

// ewma is an exponentially weighted moving average. It starts as the arithmetic
// mean, so that the first observation has no more weight than the next ones.
type ewma struct {
	n     int
	value float64
}

func (m *ewma) add(v float64) {
	m.n++
	m.value += (v - m.value) * max(smoothing, 1/float64(m.n))
}

// history holds the averages of one predictorKey: the length of responses, and the
// time that follows the prefill. For requests whose prefill is not measured, that
// time includes the prefill.
type history struct{ outputTokens, decodeSeconds ewma }

// Predictor estimates output length and service time per service and client
// account from the measured cost of earlier requests, never from limits that the
// caller sets. Methods are safe for concurrent use.
type Predictor struct {
	mu   sync.Mutex
	keys *lru.Cache[predictorKey, *history]
	// prefillSeconds and prefillTokens are averages over the same requests, so that
	// their ratio gives each token the same weight. An average of ratios would give
	// short prompts too much weight.
	prefillSeconds, prefillTokens ewma
}

// NewPredictor returns a predictor without observations.
func NewPredictor() *Predictor {
	keys, err := lru.New[predictorKey, *history](maxPredictorKeys)
	if err != nil {
		panic(err) // lru.New fails only if the size is not positive
	}
	return &Predictor{keys: keys}
}

// Predict estimates the cost of a request. uncached is the number of its prompt
// tokens that are not cached. For an account without observations it uses the
// averages of the service.
func (p *Predictor) Predict(service, account string, uncached int64) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.keys.Get(predictorKey{service, account})
	if !ok {
		h, ok = p.keys.Get(predictorKey{service: service})
	}
	if !ok {
		return Estimate{OutputTokens: defaultOutputTokens, ServiceTime: defaultServiceTime}
	}
	seconds := h.decodeSeconds.value + float64(max(0, uncached))*p.secondsPerToken()
	return Estimate{OutputTokens: int64(h.outputTokens.value + 0.5), ServiceTime: time.Duration(seconds * float64(time.Second))}
}

// Prefill estimates the time to compute a number of uncached prompt tokens. It
// returns zero when the prefill speed is unknown.
func (p *Predictor) Prefill(uncached int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(max(0, uncached)) * p.secondsPerToken() * float64(time.Second))
}

// Observe records the cost of a finished request.
func (p *Predictor) Observe(service, account string, o Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decode := o.TotalTime
	if o.ComputedTokens >= minPrefillTokens && o.TimeToFirstToken > 0 {
		decode -= o.TimeToFirstToken
		if !o.Queued {
			p.prefillSeconds.add(o.TimeToFirstToken.Seconds())
			p.prefillTokens.add(float64(o.ComputedTokens))
		}
	}
	for _, k := range []predictorKey{{service, account}, {service: service}} {
		h, ok := p.keys.Get(k)
		if !ok {
			h = &history{}
			p.keys.Add(k, h)
		}
		h.outputTokens.add(float64(o.OutputTokens))
		h.decodeSeconds.add(decode.Seconds())
	}
}

// PrefillSpeed returns the observed prefill speed in tokens per second, zero when
// unknown.
func (p *Predictor) PrefillSpeed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prefillSeconds.value <= 0 {
		return 0
	}
	return int64(p.prefillTokens.value / p.prefillSeconds.value)
}

// secondsPerToken returns the observed prefill time per token, zero when unknown.
// The caller must hold mu.
func (p *Predictor) secondsPerToken() float64 {
	if p.prefillTokens.value <= 0 {
		return 0
	}
	return p.prefillSeconds.value / p.prefillTokens.value
}
