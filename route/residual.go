package route

import "time"

const (
	// residualUp and residualDown are the weights of a new observation above and below
	// the current residual (see Endpoint.Residual). A fast increase detects a straggler
	// after one or two slow responses; a slower decrease avoids returning to it after one
	// fast response.
	residualUp   = 0.5
	residualDown = 0.2
	// residualHalfLife is the time since the last observation after which the excess
	// of a residual over 1 has halved, so that an unused endpoint is used again after
	// a temporary slowdown.
	residualHalfLife = 2 * time.Second
	// maxResidual bounds the effect of one observation.
	maxResidual = 20
	// residualFloorMs is added to the numerator and the denominator of the ratio, so
	// that jitter of a few milliseconds in a short response doesn't indicate a
	// straggler.
	residualFloorMs = 20
)

// residualNow returns the residual, or the ratio that the oldest streamed request
// without a first token has reached if that is larger, so that a straggler is
// detected before it responds.
func (s *endpointState) residualNow(now time.Time) float64 {
	residual := s.decayed(now)
	for _, a := range s.pending {
		if a.request.Stream {
			return max(residual, ratio(ms(now.Sub(a.start)), a.predictedMs))
		}
	}
	return residual
}

// ratio returns the bounded ratio of the observed to the predicted time to first
// token, both in milliseconds.
func ratio(observed, predicted float64) float64 {
	return min(maxResidual, (observed+residualFloorMs)/(predicted+residualFloorMs))
}

// decayed returns the residual after its decay towards 1 since the last observation.
func (s *endpointState) decayed(now time.Time) float64 {
	if s.residual == 1 {
		return 1
	}
	age := float64(now.Sub(s.residualAt)) / float64(residualHalfLife)
	if s.residualAt.IsZero() || age < 0 {
		return s.residual
	}
	return 1 + (s.residual-1)/(1+age)
}

// observe updates the residual with an observed and a predicted time to first token.
func (s *endpointState) observe(observedMs, predictedMs float64, now time.Time) {
	seen, current := ratio(observedMs, predictedMs), s.decayed(now)
	w := residualDown
	if seen > current {
		w = residualUp
	}
	s.residual, s.residualAt = max(1, current+w*(seen-current)), now
}
