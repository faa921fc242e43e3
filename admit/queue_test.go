package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const short = 2 * time.Second

// running reports whether the ticket's request has a slot.
func running(t *Ticket) bool {
	select {
	case <-t.Ready:
		return true
	default:
		return false
	}
}

func add(t *testing.T, q *Queue, account string, weight int, cost time.Duration) *Ticket {
	t.Helper()
	k, err := q.Add(Item{Account: account, Weight: weight, Cost: cost})
	is.New(t).NoErr(err)
	return k
}

// Guards against a burst of one client account delaying another: accounts must
// share the slots by weight, regardless of how many requests are queued.
func TestFairByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := NewQueue(1000, 1, short)
		owner := map[*Ticket]string{}
		for range 200 {
			owner[add(t, q, "big", 1, time.Second)] = "big"
		}
		for range 100 {
			owner[add(t, q, "other", 3, time.Second)] = "other"
		}
		served := map[string]int{}
		for range 80 {
			for k, a := range owner {
				if running(k) {
					served[a]++
					delete(owner, k)
					time.Sleep(time.Second)
					q.Done(k)
					break
				}
			}
		}
		is.True(served["other"] >= 58 && served["other"] <= 62)
	})
}

// Guards against long requests blocking short ones: a quarter of the slots is
// reserved for short requests.
func TestShortReserve(t *testing.T) {
	is := is.New(t)
	q := NewQueue(100, 8, short)
	for range 20 {
		add(t, q, "a", 1, time.Minute)
	}
	n, queued, _ := q.Counts()
	is.Equal(n, 6)
	is.Equal(queued, 14)
	is.True(running(add(t, q, "b", 1, time.Second)))
	is.True(running(add(t, q, "a", 1, time.Second)))
	is.True(!running(add(t, q, "a", 1, time.Second)))
}

// Guards against starvation: a long request must run although short requests of
// the same account and of another one arrive faster than the slot serves them.
func TestLongRequestsAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(10000, 1, short)
		slot := add(t, q, "a", 1, time.Second)
		long := add(t, q, "a", 1, 30*time.Second)
		var waiting []*Ticket
		for range 200 {
			waiting = append(waiting, add(t, q, "a", 1, time.Second), add(t, q, "b", 1, time.Second))
			time.Sleep(time.Second)
			q.Done(slot)
			if running(long) {
				return
			}
			for _, w := range waiting {
				if w.state == ticketRunning {
					slot = w
				}
			}
		}
		t.Fatal("the long request did not run within 200 s")
	})
}

// Guards against leaked slots and a wrong order when callers cancel waiting
// requests, and against an unbounded queue.
func TestCancelAndBound(t *testing.T) {
	is := is.New(t)
	q := NewQueue(3, 1, short)
	first := add(t, q, "a", 1, time.Second)
	second, third, last := add(t, q, "a", 1, time.Second), add(t, q, "a", 1, time.Minute), add(t, q, "a", 1, time.Second)
	_, err := q.Add(Item{Account: "b"})
	is.Equal(err, ErrFull)
	q.Done(second)
	q.Done(third)
	q.Done(second) // a second call must not free another slot
	q.Done(first)
	is.True(running(last) && !running(second) && !running(third))
	n, queued, _ := q.Counts()
	is.Equal(n, 1)
	is.Equal(queued, 0)
}

// Guards against refusing an account with few requests because of another
// account's backlog, and against accepting requests that can't be served in time.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := NewQueue(1000, 2, short)
		is.Equal(q.Wait(Item{Account: "a", Cost: time.Second}), time.Duration(0))
		for range 102 {
			add(t, q, "a", 1, time.Second)
		}
		is.Equal(q.Wait(Item{Account: "a", Cost: time.Second}), 51*time.Second)
		is.Equal(q.Wait(Item{Account: "b", Cost: time.Second}), 1500*time.Millisecond)
	})
}
