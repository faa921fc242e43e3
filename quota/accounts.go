package quota

import "time"

const (
	// keptTime is the time for which an account without a limit keeps its bucket.
	keptTime = 10 * time.Second
	// maxKept bounds the number of buckets and of counters kept of accounts that left.
	maxKept = 4096
)

// accounts has the buckets of the limited accounts and of those that have just left.
type accounts struct {
	buckets map[string]*bucket
	// limited and left count the buckets with and without a limit.
	limited, left int
	// free are slots of dropped buckets, and slots the number of all.
	free  []int
	slots int
	// retired are the counters of dropped accounts. A counter that began again at 0 under
	// the same boot id would pass for a repeated report.
	retired map[string]float64
}

func newAccounts() accounts {
	return accounts{buckets: map[string]*bucket{}, retired: map[string]float64{}}
}

// anyLimited returns whether any account has a limit.
func (a *accounts) anyLimited() bool { return a.limited > 0 }

// set gives an account a limit. Buckets must be settled.
func (a *accounts) set(account string, limit Limit, share float64, now time.Time) {
	b := a.buckets[account]
	if b == nil {
		b = a.add(account, now)
	}
	if !b.limited() {
		b.left = time.Time{}
		a.left--
		a.limited++
	}
	b.setLimit(limit, share)
}

// add makes an empty bucket that has no limit yet.
func (a *accounts) add(account string, now time.Time) *bucket {
	b := &bucket{account: account, slot: a.takeSlot(), at: now, since: now, left: now}
	b.own.units = a.retired[account]
	delete(a.retired, account)
	a.buckets[account] = b
	a.left++
	return b
}

func (a *accounts) takeSlot() int {
	if n := len(a.free); n > 0 {
		slot := a.free[n-1]
		a.free = a.free[:n-1]
		return slot
	}
	a.slots++
	return a.slots - 1
}

// removeLimits takes the limit from the chosen accounts.
func (a *accounts) removeLimits(chosen func(*bucket) bool, now time.Time) {
	for _, b := range a.buckets {
		if b.limited() && chosen(b) {
			b.left = now
			a.limited--
			a.left++
		}
	}
}

// sweep drops the accounts that left long ago, and any beyond the bound. It returns their
// slots.
func (a *accounts) sweep(now time.Time) []int {
	if a.left == 0 {
		return nil
	}
	var slots []int
	for _, b := range a.buckets {
		if !b.limited() && (now.Sub(b.left) >= keptTime || a.left > maxKept) {
			slots = append(slots, b.slot)
			a.drop(b)
		}
	}
	return slots
}

func (a *accounts) drop(b *bucket) {
	delete(a.buckets, b.account)
	a.left--
	a.free = append(a.free, b.slot)
	if b.own.units > 0 {
		a.retire(b.account, b.own.units)
	}
}

// retire keeps the counter of a dropped account, in place of any other if there are too many.
func (a *accounts) retire(account string, units float64) {
	if len(a.retired) >= maxKept {
		for other := range a.retired {
			delete(a.retired, other)
			break
		}
	}
	a.retired[account] = units
}
