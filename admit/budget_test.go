package admit

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against retry storms: retries stay within the percentage of requests.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(5)
	spent := 0
	for range 1000 {
		b.Earn()
		for b.Spend() {
			spent++
		}
	}
	is.Equal(spent, 51)
	is.True(!NewBudget(0).Spend())
}
