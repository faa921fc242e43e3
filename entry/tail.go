package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// tailQuantile matches the hedge budget of 5% of requests.
	tailQuantile = 95
	// tailWindow is the length of a histogram; two of them are in use.
	tailWindow = 10 * time.Second
	// tailSamples is how many samples a prediction needs.
	tailSamples = 20
	// tailDefault is the excess before there are enough samples. It lies
	// above the target of 0.33 s for the first token.
	tailDefault = 500 * time.Millisecond
	// tailMin keeps jitter of a fast service from starting hedges.
	tailMin = 20 * time.Millisecond
	// tailRefresh is the age at which the prediction is computed again.
	tailRefresh = 100 * time.Millisecond
	// tailMaxMs is the largest excess recorded, in milliseconds.
	tailMaxMs = 600_000
)

// tail predicts the tail of a service's samples: the gaps between tokens, or
// the excess by which first tokens come later than predicted. It forgets
// samples after one to two windows.
type tail struct {
	// initial is the prediction without enough samples, least the smallest one.
	initial, least time.Duration

	mu        sync.Mutex
	now, last *hdrhistogram.Histogram
	started   time.Time
	predicted time.Duration
	computed  time.Time
}

func newTail(initial, least time.Duration) *tail {
	return &tail{initial: initial, least: least, now: hdrhistogram.New(1, tailMaxMs, 2), last: hdrhistogram.New(1, tailMaxMs, 2), started: time.Now(), predicted: initial}
}

// record adds one observed time; a negative one counts as none.
func (t *tail) record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.started) > tailWindow {
		t.now, t.last = t.last, t.now
		t.now.Reset()
		t.started = time.Now()
	}
	_ = t.now.RecordValue(min(max(1, d.Milliseconds()), tailMaxMs))
}

// predict returns the time after which a token is unusually late.
func (t *tail) predict() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.computed) < tailRefresh {
		return t.predicted
	}
	t.computed = time.Now()
	h := t.now
	if h.TotalCount() < tailSamples {
		h = t.last
	}
	if h.TotalCount() < tailSamples {
		t.predicted = t.initial
		return t.predicted
	}
	t.predicted = max(t.least, time.Duration(h.ValueAtQuantile(tailQuantile)+1)*time.Millisecond)
	return t.predicted
}
