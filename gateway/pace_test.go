package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pace that a few slow answers (a straggler, a queue that the
// gateway does not see) pull down, after which requests are refused for nothing.
func TestPaceIgnoresStragglers(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var p paces
	const tokens, usual = 4000, 50 * time.Millisecond
	for range 2000 {
		first := answerOverhead + usual
		if rng.Float64() < 0.3 {
			first += time.Duration(rng.Float64() * float64(time.Second))
		}
		p.observe("llm", tokens, 0, first)
	}
	got := p.rate("llm")
	want := tokens / usual.Seconds()
	is.True(got > 0.7*want)
	is.True(got < 1.4*want)
}

// Guards against learning from answers that waited or computed next to nothing.
func TestPaceSkipsAnswersThatTellNothing(t *testing.T) {
	is := is.New(t)
	var p paces
	p.observe("llm", minPaceTokens-1, 0, time.Second)
	p.observe("llm", 4000, maxPaceWaitMs+1, time.Second)
	p.observe("llm", 4000, 0, answerOverhead)
	is.Equal(p.rate("llm"), float64(initialPace))
}
