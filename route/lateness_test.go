package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit before enough answers are known, against one below the time of a
// new connection, and against one that far more or far fewer than a tenth of the answers exceed.
func TestLatenessFollowsTheService(t *testing.T) {
	is := is.New(t)
	var s *spread
	is.Equal(s.lateAfter(50), 300*time.Millisecond)
	s = &spread{}
	for range minSpreadAnswers - 1 {
		s.observe(50, 50)
	}
	is.Equal(s.lateAfter(50), 300*time.Millisecond)
	s.observe(50, 50)
	is.Equal(s.lateAfter(50), 150*time.Millisecond)
	rng := rand.New(rand.NewPCG(1, 1))
	late := 0
	for i := range 10_000 {
		observed := 300 + 500*rng.ExpFloat64()
		if i >= 1000 && observed > ms(s.lateAfter(300)) {
			late++
		}
		s.observe(observed, 300)
	}
	t.Logf("%d of 9,000 late", late)
	is.True(late > 9000*4/100 && late < 9000*12/100)
}
