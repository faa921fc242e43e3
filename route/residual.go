package route

import "time"

const (
	// residualUp and residualDown are the weights of a new observation. Rising
	// fast shows a straggler after one or two slow answers; falling slower
	// avoids returning to it after one fast answer.
	residualUp   = 0.5
	residualDown = 0.2
	// residualHalfLife returns an unused endpoint to normal, so that it is
	// tried again after a momentary slowdown.
	residualHalfLife = 2 * time.Second
	// maxResidual bounds the effect of one observation.
	maxResidual = 20
	// residualFloorMs is added to both sides of the ratio, so that jitter of a
	// few milliseconds in a short answer doesn't count as a straggler.
	residualFloorMs = 20
)

// residualNow returns the residual, or the ratio that the oldest request
// without a first token has reached, if that is larger: a straggler shows by
// what it has not answered.
func (s *endpointState) residualNow(now time.Time) float64 {
	residual := s.decayed(now)
	for _, a := range s.pending {
		if a.request.Stream {
			return max(residual, ratio(ms(now.Sub(a.start)), a.predicted))
		}
	}
	return residual
}

// ratio compares times to first token in milliseconds.
func ratio(observed, predicted float64) float64 {
	return min(maxResidual, (observed+residualFloorMs)/(predicted+residualFloorMs))
}

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

func (s *endpointState) observe(observedMs, predictedMs float64, now time.Time) {
	seen, current := ratio(observedMs, predictedMs), s.decayed(now)
	w := residualDown
	if seen > current {
		w = residualUp
	}
	s.residual, s.residualAt = max(1, current+w*(seen-current)), now
}
