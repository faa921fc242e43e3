package soak

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/citrontiller/citrontiller/platform/platformtest"
)

// sharingAccount is an account that asks a model and may share its cached prompts.
type sharingAccount struct{ name, credential string }

// sharingAccounts are the account of usualKey, which is never dedicated, and two that are
// dedicated in some versions of the configuration.
var sharingAccounts = []sharingAccount{{"t", usualKey}, {"north", "north"}, {"south", "south"}}

// isDedicated reports whether an account is dedicated in a version of the configuration. All
// combinations come in turn.
func isDedicated(account string, version int64) bool {
	switch account {
	case "north":
		return version%2 == 1
	case "south":
		return version/2%2 == 1
	}
	return false
}

// sendPrompts sends an account's requests for a model to random gateways until ctx ends.
func (s *system) sendPrompts(ctx context.Context, next *atomic.Int64, account sharingAccount, rng *rand.Rand) {
	c := newCaller(s)
	defer c.close()
	for ctx.Err() == nil {
		p := s.processes[rng.IntN(len(s.processes))]
		if s.takesCalls(p) {
			r := shortRequest(next.Add(1), "read")
			r.credential, r.model = account.credential, "m"
			c.call(p, r)
		}
		time.Sleep(between(rng, 0, 40*time.Millisecond))
	}
}

// checkSharing checks the cache salts of the runs that began after a time, at which the newest
// configuration was in force at all gateways: none is one that another account has used, under
// whatever configuration, if one of the two is dedicated.
func (s *system) checkSharing(since time.Time) {
	newest := s.version.Load()
	makers, users := accountsBySalt{}, accountsBySalt{}
	for _, run := range s.runs.All() {
		makers.add(run)
		if run.StartedAt.After(since) {
			users.add(run)
		}
	}
	if len(users) == 0 {
		s.fail("no request for a model ran after the faults")
	}
	for salt, accounts := range users {
		for user := range accounts {
			for maker := range makers[salt] {
				if user != maker && (isDedicated(user, newest) || isDedicated(maker, newest)) {
					s.fail("%s uses cached prompts of %s although one of them is dedicated in version %d", user, maker, newest)
				}
			}
		}
	}
}

// accountsBySalt holds the accounts whose requests ran with each cache salt.
type accountsBySalt map[string]map[string]bool

// add adds a run, unless it is one without a model.
func (a accountsBySalt) add(run platformtest.Run) {
	if run.CacheSalt == "" {
		return
	}
	if a[run.CacheSalt] == nil {
		a[run.CacheSalt] = map[string]bool{}
	}
	a[run.CacheSalt][run.Account] = true
}
