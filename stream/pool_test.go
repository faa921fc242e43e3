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
		const partBytes, partsPerStream = 1000, 50
		pool := NewPool(10 * (partBytes + partOverheadBytes))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fill := func(r *Replay, done *int) {
			for *done < partsPerStream && r.Append(ctx, Part{Data: make([]byte, partBytes)}) == nil {
				*done++
			}
		}
		appended := make([]int, 4)
		bufs := make([]*Replay, 4)
		for i := range bufs {
			bufs[i] = NewReplay(6*partBytes, i%2 == 1, pool)
			go fill(bufs[i], &appended[i])
		}
		synctest.Wait()
		is.True(pool.Used() <= 12*(partBytes+partOverheadBytes)) // the limit, and one part each for streams that start later
		bufs[1].SetDropUnread(true)                              // has no reader
		synctest.Wait()
		is.Equal(appended[1], partsPerStream)
		for seq := uint64(1); seq <= partsPerStream; seq++ {
			for _, r := range bufs {
				r.Ack(seq)
			}
			synctest.Wait()
		}
		is.Equal(appended, []int{partsPerStream, partsPerStream, partsPerStream, partsPerStream})
		for _, r := range bufs {
			r.Discard()
		}
		is.Equal(pool.Used(), 0)
	})
}
