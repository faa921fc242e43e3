package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a wait that forgets prefill inside the endpoint, counts work
// that has ended, or trusts the prediction of a prefill that overran it.
func TestBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Backlog{}
		first, second := b.Begin(100*time.Millisecond), b.Begin(200*time.Millisecond)
		is.True(!first.Queued && second.Queued)
		time.Sleep(60 * time.Millisecond)
		is.Equal(b.Wait(), 240*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		is.Equal(b.Wait(), 240*time.Millisecond) // 40 ms more for the late one
		first.Done()
		first.Done()
		is.Equal(b.Wait(), 200*time.Millisecond)
		second.Done()
		is.Equal(b.Wait(), time.Duration(0))
	})
}
