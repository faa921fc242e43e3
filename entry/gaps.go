package entry

import "time"

const (
	// tokenGapTarget is the target for the time between tokens, which 95 of 100
	// tokens must meet.
	tokenGapTarget = 64 * time.Millisecond
	// minTokenTimeout prevents a stream with very regular tokens from moving at
	// the first token that misses the target.
	minTokenTimeout = 2 * tokenGapTarget
	// defaultLongestGap is the predicted longest gap while there are too few
	// samples.
	defaultLongestGap = 2 * tokenGapTarget
	// gapFactor multiplies the service's predicted longest gap, because one stream
	// in 20 exceeds the prediction itself in each block of tokens.
	gapFactor = 2
	// gapBlockSize is the number of gaps of a stream per sample of the service's
	// prediction, which limits contention on its lock. The end of a stream also
	// records a sample; otherwise a service with only short streams would have
	// none.
	gapBlockSize = 64
	// gapWeight and gapDevWeight are the smoothing factors of the mean and the
	// mean deviation; gapDeviations is the number of deviations above the mean
	// that is normal. All are those of the retransmission timer of RFC 6298.
	gapWeight     = 1.0 / 8
	gapDevWeight  = 1.0 / 4
	gapDeviations = 4
)

// tokenGaps tracks the time between the tokens of one stream.
type tokenGaps struct {
	// service estimates the longest gap per block over all streams of the
	// service.
	service *tailEstimator
	// predicted caches the service's prediction for the current block; 0 means
	// that it is not read yet.
	predicted time.Duration
	mean, dev float64
	longest   time.Duration
	count     int
}

// add records one gap.
func (g *tokenGaps) add(d time.Duration) {
	if g.count == 0 && g.mean == 0 {
		g.mean, g.dev = float64(d), float64(d)/2
	}
	diff := float64(d) - g.mean
	g.mean += diff * gapWeight
	g.dev += (max(diff, -diff) - g.dev) * gapDevWeight
	g.longest = max(g.longest, d)
	if g.count++; g.count == gapBlockSize {
		g.flush()
	}
}

// flush records the longest gap since the last sample for the service.
func (g *tokenGaps) flush() {
	if g.count > 0 {
		g.service.record(g.longest)
	}
	g.longest, g.count, g.predicted = 0, 0, 0
}

// reset discards the stream's own gaps when it continues on another endpoint.
func (g *tokenGaps) reset() { *g = tokenGaps{service: g.service} }

// timeout returns the time without a token after which the stream counts as
// silent.
func (g *tokenGaps) timeout() time.Duration {
	if g.predicted == 0 {
		g.predicted = g.service.predict()
	}
	own := time.Duration(g.mean + gapDeviations*g.dev)
	return max(minTokenTimeout, own, gapFactor*g.predicted)
}
