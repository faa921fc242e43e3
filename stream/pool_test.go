package stream

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against memory that grows with the number of streams, and against a full
// pool that blocks a stream forever: parts retained without a reader, or other
// streams' parts, must not block a stream that holds nothing.
func TestPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const part, each = 1000, 50
		pool := NewPool(10 * (part + partOverheadBytes))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fill := func(r *Replay, done *int) {
			for *done < each && r.Append(ctx, Part{Data: make([]byte, part)}) == nil {
				*done++
			}
		}
		read := make([]int, 4)
		bufs := make([]*Replay, 4)
		for i := range bufs {
			bufs[i] = NewReplay(6*part, i%2 == 1, pool)
			go fill(bufs[i], &read[i])
		}
		synctest.Wait()
		is.True(pool.Used() <= 12*(part+partOverheadBytes)) // the limit, and one part each for streams that start later
		bufs[1].SetDropUnread(true)                         // has no reader
		synctest.Wait()
		is.Equal(read[1], each)
		for seq := uint64(1); seq <= each; seq++ {
			for _, r := range bufs {
				r.Ack(seq)
			}
			synctest.Wait()
		}
		is.Equal(read, []int{each, each, each, each})
		for _, r := range bufs {
			r.Discard()
		}
		is.Equal(pool.Used(), 0)
	})
}
