package route

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// spreadWeight is the weight of a new answer in the moving averages of a spread. About
	// one answer in ten exceeds the limit, so that fewer than a hundred answers would place
	// it by chance.
	spreadWeight = 0.01
	// spreadDeviations is the number of mean absolute deviations above the mean from which
	// an answer is late. With normal and with exponential ratios, 5 to 9% of the answers
	// exceed two.
	spreadDeviations = 2
	// minSpreadAnswers is the number of answers from which a spread is used. The mean of
	// twenty is within a quarter of the deviation of one.
	minSpreadAnswers = 20
	// minExcess is the least time beyond the prediction after which an answer is late. A
	// new connection to another region takes two or three round trips, and the prediction
	// contains only one.
	minExcess = 100 * time.Millisecond
	// minUnknownExcess replaces minExcess and the spread until the spread is known. The
	// time per token is then the default, which may be several times too low.
	minUnknownExcess = 250 * time.Millisecond
	// maxPredictions bounds the predictions kept for first tokens that other processes
	// have not reported yet. The oldest one is given up for a new one.
	maxPredictions = 8 << 10
)

// spread is the distribution of the ratio of the observed to the predicted time to first
// token over the answers of a service's established endpoints. It contains the errors of
// the prediction, the way to other regions and endpoints that are slower than others.
type spread struct {
	// answers is the number of answers, mean the moving average of their ratio, and
	// deviation that of the absolute difference between the ratio and the mean.
	answers         int
	mean, deviation float64
}

// observe adds an answer. Both times are in milliseconds.
func (s *spread) observe(observedMs, predictedMs float64) {
	s.answers++
	w := max(spreadWeight, 1/float64(s.answers))
	x := ratio(observedMs, predictedMs)
	s.mean += w * (x - s.mean)
	s.deviation += w * (math.Abs(x-s.mean) - s.deviation)
}

// lateAfter returns the time from a dispatch after which its first token is late. A nil
// spread is that of a service without answers.
func (s *spread) lateAfter(predictedMs float64) time.Duration {
	predicted := time.Duration(predictedMs * float64(time.Millisecond))
	if s == nil || s.answers < minSpreadAnswers {
		return predicted + minUnknownExcess
	}
	limit := s.mean + spreadDeviations*s.deviation
	limitMs := limit*(predictedMs+residualFloorMs) - residualFloorMs
	return max(predicted+minExcess, time.Duration(limitMs*float64(time.Millisecond)))
}

// prediction is the predicted time to first token of another process's request.
type prediction struct {
	sentAt      time.Time
	predictedMs float64
}

// lateness judges first tokens by those of the same service.
type lateness struct {
	// spreads is by service, predictions by the dispatch.
	spreads     map[string]*spread
	predictions *lru.Cache[dispatchKey, prediction]
}

func newLateness() lateness {
	predictions, err := lru.New[dispatchKey, prediction](maxPredictions)
	if err != nil {
		panic(err) // lru.New fails only if the size is below 1
	}
	return lateness{spreads: map[string]*spread{}, predictions: predictions}
}

// observe adds an answer of an established endpoint of a service.
func (l *lateness) observe(service string, p prediction, now time.Time) {
	d := l.spreads[service]
	if d == nil {
		d = &spread{}
		l.spreads[service] = d
	}
	d.observe(ms(now.Sub(p.sentAt)), p.predictedMs)
}

// takePrediction removes the prediction of another process's request and returns it, false
// if there is none.
func (l *lateness) takePrediction(key dispatchKey) (prediction, bool) {
	p, ok := l.predictions.Peek(key)
	l.predictions.Remove(key)
	return p, ok
}
