package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var queueStart = time.Unix(0, 0)

// request returns a request whose latest start, and end of its wait, is after a time.
func request(priority int, account string, latest time.Duration) *Waiting {
	at := queueStart.Add(latest)
	return &Waiting{Priority: priority, Account: account, LatestStart: at, Until: at}
}

// Guards against requests that overtake a more urgent one, one of an account that has used
// less of its quota, or one of their account that must start earlier.
func TestWaitQueueOrder(t *testing.T) {
	is := is.New(t)
	var q WaitQueue
	used := map[string]float64{"hot": 1, "cool": 0.2}
	want := []*Waiting{request(0, "hot", 9*time.Second), request(1, "cool", 5*time.Second), request(1, "cool", 6*time.Second),
		request(1, "hot", time.Second), request(1, "hot", 2*time.Second), request(2, "cool", time.Second)}
	for _, i := range []int{5, 3, 2, 0, 4, 1} {
		is.Equal(q.Add(want[i], used[want[i].Account], queueStart).Refused, NotQueued(""))
	}
	is.Equal(q.Next(len(want)), want)
	is.Equal(q.Place(want[3]), 3)
	is.True(q.MustWait(request(1, "cool", time.Hour), 0.2, queueStart))
	is.True(!q.MustWait(request(0, "other", time.Hour), 0.2, queueStart)) // has used less than hot
	is.True(q.MustWait(request(0, "other", time.Hour), 1, queueStart))
	q.Dispatched(want[0], queueStart)
	is.True(!q.MustWait(request(0, "hot", time.Hour), 1, queueStart))     // only less urgent requests wait
	is.True(!q.MustWait(request(1, "other", time.Hour), 0.1, queueStart)) // has used less than cool
	is.True(q.MustWait(request(2, "other", time.Hour), 0.1, queueStart))
	q.SetUsed(func(account string) float64 { return 1.2 - used[account] })
	is.Equal(q.Next(1)[0], want[3]) // hot has now used less
}

// Guards against late requests that delay those that can still be on time, against requests
// that stay ahead although they have become late, and against arrivals that wait behind late ones.
func TestWaitQueueServesRequestsOnTimeFirst(t *testing.T) {
	is := is.New(t)
	var q WaitQueue
	until := func(w *Waiting, onTime time.Duration) *Waiting {
		w.OnTimeUntil = queueStart.Add(onTime)
		return w
	}
	late, soon := until(request(1, "a", 3*time.Second), -1), until(request(1, "a", 9*time.Second), time.Second)
	later, other := until(request(1, "a", 5*time.Second), 2*time.Second), until(request(1, "b", 9*time.Second), 2*time.Second)
	untargeted := request(1, "a", 8*time.Second)
	for _, w := range []*Waiting{late, untargeted, later, soon} {
		is.Equal(q.Add(w, 0.5, queueStart).Refused, NotQueued(""))
	}
	is.Equal(q.Next(4), []*Waiting{soon, later, untargeted, late})
	is.Equal(q.Add(other, 0.1, queueStart).Place, 0)
	now := queueStart.Add(time.Second + 1)
	is.Equal(len(q.Expired(now)), 0)
	is.Equal(q.Next(5), []*Waiting{other, later, untargeted, late, soon})
	is.True(soon.Late() && !later.Late())
	q.SetLate(other)
	is.Equal(q.Next(3), []*Waiting{later, untargeted, other})
	for _, w := range []*Waiting{other, later, untargeted} {
		is.True(q.Remove(w, now))
	}
	is.True(!q.MustWait(until(request(1, "a", time.Minute), 2*time.Second), 1, now)) // only late ones wait
	is.True(q.MustWait(until(request(1, "a", time.Minute), time.Second), 1, now))
}

// Guards against a full queue that grows, that refuses an urgent request, or that keeps a
// request that has lost its place.
func TestFullWaitQueueRefusesLast(t *testing.T) {
	is := is.New(t)
	var q WaitQueue
	for i := range MaxWaiting {
		is.Equal(q.Add(request(1, "a", time.Minute+time.Duration(i)), 0, queueStart).Place, i)
	}
	last := q.Next(MaxWaiting)[MaxWaiting-1]
	is.Equal(q.Add(request(1, "a", time.Hour), 0, queueStart).Refused, QueueFull)
	is.Equal(q.Add(request(0, "a", time.Minute), 0, queueStart).Evicted, last)
	is.Equal(q.Len(), MaxWaiting)
	is.Equal(q.Place(last), -1)
	is.True(!q.Remove(last, queueStart))
}

// Guards against requests that wait beyond the end of their wait, are returned twice, or
// leave their account behind in the queue.
func TestWaitQueueExpiryAndRemoval(t *testing.T) {
	is := is.New(t)
	var q WaitQueue
	early, late := request(1, "a", time.Second), request(1, "b", 2*time.Second)
	late.Until = late.LatestStart.Add(time.Hour) // the latest start is the end of its wait
	for _, w := range []*Waiting{late, early} {
		is.Equal(q.Add(w, 0, queueStart).Refused, NotQueued(""))
	}
	is.Equal(len(q.Expired(queueStart.Add(time.Second-1))), 0)
	is.Equal(q.Expired(queueStart.Add(time.Second)), []*Waiting{early})
	is.True(q.Remove(late, queueStart.Add(time.Second)))
	is.True(!q.Remove(late, queueStart.Add(time.Second)))
	is.Equal(len(q.accounts), 0)
	is.Equal(q.Add(early, 0, queueStart.Add(time.Second)).Refused, TooLate)
	is.Equal(q.Len(), 0)
	is.Equal(q.Add(late, 0, queueStart.Add(time.Second)).Refused, NotQueued("")) // as after a send that failed
	is.Equal(q.Clear(queueStart.Add(time.Second)), []*Waiting{late})
}

// Guards against a request that waits in a queue that can't drain in time, and against a
// drain rate that counts the time without a queue.
func TestWaitQueueExpectsWaitFromDispatches(t *testing.T) {
	is := is.New(t)
	var q WaitQueue
	now := queueStart
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for q.Len() < 50 {
			q.Add(request(1, "a", time.Hour), 0, now)
		}
		q.Dispatched(q.Next(1)[0], now)
	}
	expected := q.ExpectedWait(10, now) // 10 a second
	is.True(expected > 800*time.Millisecond && expected < 1200*time.Millisecond)
	e := q.Add(request(1, "a", now.Sub(queueStart)+2*time.Second), 0, now)
	is.Equal(e.Refused, NotQueued("")) // goes first
	behind := request(2, "a", time.Hour)
	behind.Until = now.Add(2 * time.Second)
	is.Equal(q.Add(behind, 0, now).Refused, LongQueue)
	q.Clear(now)
	is.Equal(q.ExpectedWait(10, now.Add(time.Hour)), time.Duration(0))
}

// Guards against a wait beyond which the caller has no time left, and against urgent
// requests that are late for waiting.
func TestLongestWait(t *testing.T) {
	is := is.New(t)
	long := WaitLimit{Priority: 1, Target: 1500 * time.Millisecond, Stream: true}
	is.Equal(long.Longest(15*time.Second), 3*time.Second)
	is.Equal(long.Longest(4*time.Second), 2*time.Second)
	long.GapAim = time.Second
	is.Equal(long.Longest(15*time.Second), 4*time.Second)
	long.Stream = false
	is.Equal(long.Longest(15*time.Second), 7500*time.Millisecond)
	urgent := WaitLimit{Target: 500 * time.Millisecond, Stream: true}
	is.Equal(urgent.Longest(3*time.Second), 250*time.Millisecond)
	is.Equal(urgent.Longest(-time.Second), time.Duration(0))
}
