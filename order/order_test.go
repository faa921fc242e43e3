package order

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

func ids(orders []Order) (out []string) {
	for _, o := range orders {
		out = append(out, o.Endpoint)
	}
	return out
}

// Guards against more engines loading concurrently than the weight store allows,
// orders to engines that need none, and orders based on an unknown state.
func TestPlan(t *testing.T) {
	is := is.New(t)
	want := State{Model: "m", Version: "v2", Adapters: []string{"x", "y"}, Role: "both"}
	old := want
	old.Version = "v1"
	role := State{Model: "m", Version: "v2", Adapters: []string{"y", "x"}, Role: "decode"}
	all := []Endpoint{
		{ID: "busy", State: old, Reachable: true, Load: 5},
		{ID: "idle", State: old, Reachable: true},
		{ID: "mid", State: old, Reachable: true, Load: 2},
		{ID: "role", State: role, Reachable: true, Load: 9},
		{ID: "done", State: want, Reachable: true},
		{ID: "lost", State: old},
	}
	is.Equal(ids(Plan(want, all, 2)), []string{"idle", "mid", "role"})
	all[1].Loading, all[1].Reachable = true, false // it may still be loading
	is.Equal(ids(Plan(want, all, 2)), []string{"mid", "role"})
	is.Equal(ids(Plan(want, all, 1)), []string{"role"})
	is.Equal(Plan(want, all, 2)[0].State, want)
}

// Guards against orders from a controller that has lost its lease: a lower fencing
// token is refused, even while the newer order is still waiting to be sent, and
// orders are sent one at a time.
func TestFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := NewFence()
		var sent []int64
		hold := make(chan struct{})
		results := make(chan error, 2)
		do := func(n int64, wait <-chan struct{}) {
			_, err := f.Do(nil, "e", n, func() error {
				if wait != nil {
					<-wait
				}
				sent = append(sent, n)
				return nil
			})
			results <- err
		}
		go do(5, hold)
		synctest.Wait()
		go do(6, nil) // waits for 5 to be sent
		synctest.Wait()
		highest, err := f.Do(nil, "e", 5, func() error { return errors.New("sent") })
		var stale *StaleError
		is.True(errors.As(err, &stale))
		is.Equal(highest, int64(6))
		close(hold)
		is.NoErr(<-results)
		is.NoErr(<-results)
		is.Equal(sent, []int64{5, 6})
		_, err = f.Do(nil, "other", 1, func() error { return nil })
		is.NoErr(err) // fencing tokens are per endpoint
	})
}
