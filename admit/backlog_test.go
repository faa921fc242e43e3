package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a predicted wait that omits pending prefills, includes finished
// ones, or relies on the prediction of a prefill that has exceeded it.
func TestBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Backlog{}
		first, second := b.Begin(100*time.Millisecond, true), b.Begin(200*time.Millisecond, true)
		is.True(!first.Queued && second.Queued)
		time.Sleep(60 * time.Millisecond)
		is.Equal(b.Wait(), 240*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		is.Equal(b.Wait(), 240*time.Millisecond) // 40 ms more for the prefill that exceeded its prediction
		first.Done()
		first.Done()
		is.Equal(b.Wait(), 200*time.Millisecond)
		second.Done()
		b.Begin(100*time.Millisecond, false) // not streamed and still running
		time.Sleep(time.Second)
		is.Equal(b.Wait(), time.Duration(0))
	})
}
