package entry

import "time"

const (
	// tokenTarget is the time between tokens that 95 of 100 tokens must keep.
	tokenTarget = 64 * time.Millisecond
	// leastSilence keeps a stream with very regular tokens from moving at the
	// first token that misses the target.
	leastSilence = 2 * tokenTarget
	// gapDefault is the prediction of the longest gap before there are samples.
	gapDefault = 2 * tokenTarget
	// gapMargin multiplies the predicted longest gap of the service. One stream
	// in 20 exceeds the prediction itself in each block of tokens.
	gapMargin = 2
	// gapBlock is how many gaps of a stream give one sample to the service's
	// prediction, so that streams share its lock rarely. The end of a stream gives
	// one too: short streams alone would leave the service without a prediction.
	gapBlock = 64
	// gapWeight and gapDevWeight are the weights of a new gap in the mean and
	// the mean deviation; gapDeviations is how many deviations above the mean
	// are normal. All are those of the retransmission timer of RFC 6298.
	gapWeight     = 1.0 / 8
	gapDevWeight  = 1.0 / 4
	gapDeviations = 4
)

// gaps follows the time between the tokens of one stream.
type gaps struct {
	// service collects the longest gap of each block, of all streams.
	service *tail
	// predicted is the service's prediction as of the last block.
	predicted time.Duration
	mean, dev float64
	longest   time.Duration
	count     int
}

// add records one gap.
func (g *gaps) add(d time.Duration) {
	if g.count == 0 && g.mean == 0 {
		g.mean, g.dev = float64(d), float64(d)/2
	}
	diff := float64(d) - g.mean
	g.mean += diff * gapWeight
	g.dev += (max(diff, -diff) - g.dev) * gapDevWeight
	g.longest = max(g.longest, d)
	if g.count++; g.count == gapBlock {
		g.end()
	}
}

// end gives the service a sample of the gaps since the last one.
func (g *gaps) end() {
	if g.count > 0 {
		g.service.record(g.longest)
	}
	g.longest, g.count, g.predicted = 0, 0, 0
}

// restart forgets the stream's own gaps when it continues on another endpoint.
func (g *gaps) restart() { *g = gaps{service: g.service} }

// silence returns how long the next token may take before the stream counts as silent.
func (g *gaps) silence() time.Duration {
	if g.predicted == 0 {
		g.predicted = g.service.predict()
	}
	own := time.Duration(g.mean + gapDeviations*g.dev)
	return max(leastSilence, own, gapMargin*g.predicted)
}
