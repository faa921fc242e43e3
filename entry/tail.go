package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// tailPercentile is the predicted percentile. It matches the hedge budget of
	// 5% of requests.
	tailPercentile = 95
	// tailWindow is the period that a histogram covers; two of them are in use.
	tailWindow = 10 * time.Second
	// tailMinSamples is the minimum number of samples for a prediction.
	tailMinSamples = 20
	// tailDefault is the predicted excess while there are too few samples. It is
	// above the target of 0.33 s for the first token.
	tailDefault = 500 * time.Millisecond
	// tailMin prevents hedges caused by the jitter of a fast service.
	tailMin = 20 * time.Millisecond
	// tailRefresh is the age after which a prediction is computed again.
	tailRefresh = 100 * time.Millisecond
	// tailMaxMs is the largest sample recorded, in milliseconds.
	tailMaxMs = 600_000
)

// tailEstimator estimates the tail latency of a service from samples: the longest
// gaps between tokens, or the excess by which first tokens are later than
// predicted. It discards samples after one to two windows.
type tailEstimator struct {
	// initial is the prediction while there are too few samples, minimum the
	// lower bound of later predictions.
	initial, minimum time.Duration

	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram
	windowStart       time.Time
	predicted         time.Duration
	predictedAt       time.Time
}

func newTailEstimator(initial, minimum time.Duration) *tailEstimator {
	return &tailEstimator{initial: initial, minimum: minimum, current: hdrhistogram.New(1, tailMaxMs, 2), previous: hdrhistogram.New(1, tailMaxMs, 2), windowStart: time.Now(), predicted: initial}
}

// record adds a sample; values below 1 ms are recorded as 1 ms.
func (t *tailEstimator) record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.windowStart) > tailWindow {
		t.current, t.previous = t.previous, t.current
		t.current.Reset()
		t.windowStart = time.Now()
	}
	_ = t.current.RecordValue(min(max(1, d.Milliseconds()), tailMaxMs))
}

// predict returns the time that tailPercentile percent of the samples don't exceed,
// but at least the minimum. It returns the initial value while there are too few
// samples. The result is at most tailRefresh old.
func (t *tailEstimator) predict() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.predictedAt) < tailRefresh {
		return t.predicted
	}
	t.predictedAt = time.Now()
	h := t.current
	if h.TotalCount() < tailMinSamples {
		h = t.previous
	}
	if h.TotalCount() < tailMinSamples {
		t.predicted = t.initial
		return t.predicted
	}
	t.predicted = max(t.minimum, time.Duration(h.ValueAtQuantile(tailPercentile)+1)*time.Millisecond)
	return t.predicted
}
