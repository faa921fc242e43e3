package gatewayd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/platform/platformtest"
	"github.com/citrontiller/citrontiller/quarantine"
	"github.com/citrontiller/citrontiller/rollout"
)

// restorableGateway is a gateway that follows and writes to a store double.
type restorableGateway struct {
	*gatewayProcess
	t     *testing.T
	store *platformtest.Store
}

func newRestorableGateway(t *testing.T) *restorableGateway {
	store := platformtest.NewStore()
	store.Put(platform.ConfigKey, jsonText(announcedConfig))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &restorableGateway{gatewayProcess: followStore(t, server.Listener.Addr().String()), t: t, store: store}
}

// followStore returns a gateway that follows the store at an address.
func followStore(t *testing.T, address string) *gatewayProcess {
	p := newProcess(Settings{PollWait: 4 * time.Second, LeaseTTL: 2 * time.Second}, platform.Settings{Name: "g0", Region: "r",
		StoreAddress: address}, zap.NewNop(), func() int64 { return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.pulse.Run(ctx)
	go p.mirror.Run(ctx)
	return p
}

// waitFor waits at most 5 s until a condition holds.
func (g *restorableGateway) waitFor(what string, holds func() bool) {
	g.t.Helper()
	waitUntil(g.t, what, holds)
}

// stored reports whether the store has a key.
func (g *restorableGateway) stored(key string) bool {
	_, err := g.gatewayProcess.store.Get(context.Background(), key)
	return err == nil
}

// Guards against requests that crash endpoints again, and against gateways that lose each
// other, after the store was restored from a copy that is older than a block and the
// gateways' registrations.
func TestOwnKeysAreWrittenAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	g := newRestorableGateway(t)
	restore := g.store.Snapshot()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.register(ctx)
	part := quarantine.Part{Service: "s", ID: "deadly"}
	g.quarantine.ApplyBlock(quarantine.Block{Part: part, Until: time.Now().Add(time.Minute)})
	quarantineObserver{g.gatewayProcess}.PartBlocked(quarantine.Block{Part: part, Until: time.Now().Add(time.Minute)})
	g.waitFor("block and registration", func() bool {
		return g.mirror.StoredRevision(blockKey(part)) > 0 && g.mirror.StoredRevision(peerPrefix+"g0") > 0
	})
	restore()
	g.waitFor("restored store", func() bool { return !g.mirror.RestoredAt().IsZero() })
	g.waitFor("block written again", func() bool { return g.stored(blockKey(part)) })
	g.waitFor("registration written again", func() bool { return g.stored(peerPrefix + "g0") })
	is.Equal(g.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Blocked)
	pair, err := g.gatewayProcess.store.Get(ctx, blockKey(part))
	is.NoErr(err)
	var r blockRecord
	is.NoErr(json.Unmarshal(pair.Value, &r))
	is.Equal(r.Part, "deadly")
}

// Guards against two gateways that give engines orders at once: a restored store has lost
// the lock of a holder whose lease hasn't ended by its own clock.
func TestLockWaitsForLeaseAfterRestore(t *testing.T) {
	is := is.New(t)
	g := newRestorableGateway(t)
	restore := g.store.Snapshot()
	g.waitFor("configuration", func() bool { return g.gateway.Config.Current() != nil })
	g.waitFor("turn", g.mayAcquireLock)
	held, err := g.coordinator().Lock.Acquire(t.Context())
	is.NoErr(err)
	restore()
	g.waitFor("restored store", func() bool { return !g.mirror.RestoredAt().IsZero() })
	is.True(!g.stored(rollout.LockKey))
	is.True(!g.mayAcquireLock())
	is.True(held.Renew(t.Context()) != nil) // the lease was lost with the lock
	g.waitFor("lease of the earlier holder", g.mayAcquireLock)
	is.True(time.Since(g.mirror.RestoredAt()) >= g.settings.LeaseTTL)
	next, err := g.coordinator().Lock.Acquire(t.Context())
	is.NoErr(err)
	is.True(next.Fence > held.Fence) // engines refuse orders with a lower fencing token
	is.True(infra.Era(next.Fence) > infra.Era(held.Fence))
}

// Guards against a sound part that is blocked again from the store, by gateways that start
// later, after another part was found to explain its crashes.
func TestSupersededBlockIsRemoved(t *testing.T) {
	is := is.New(t)
	g := newRestorableGateway(t)
	crashed := func(ids []string, at time.Time, n int) {
		g.quarantine.Enter(partsOf(ids...), at).Pass.Crashed(quarantine.Crash{Endpoint: fmt.Sprint("i-", n), BootID: "1"}, at)
	}
	start := time.Now().Add(-time.Minute)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	crashed([]string{"deadly", "sound"}, at(0), 1)
	crashed([]string{"deadly", "sound"}, at(1), 2)
	is.Equal(g.quarantine.Enter(partsOf("deadly", "sound"), at(2)).Part.ID, "sound") // the deepest
	sound, deadly := partsOf("sound")[0], partsOf("deadly")[0]
	g.waitFor("block of the sound part", func() bool { return g.mirror.StoredRevision(blockKey(sound)) > 0 })
	crashed([]string{"deadly", "other"}, at(3), 3)
	is.Equal(g.quarantine.Enter(partsOf("deadly", "other"), at(4)).Part.ID, "deadly")
	g.waitFor("block of the deadly part", func() bool { return g.stored(blockKey(deadly)) })
	g.waitFor("end of the sound part's block", func() bool { return !g.stored(blockKey(sound)) })
	is.Equal(g.quarantine.Enter(partsOf("sound"), time.Now()).Verdict, quarantine.Allowed)
}

// partsOf returns the parts of a prompt.
func partsOf(ids ...string) []quarantine.Part {
	var out []quarantine.Part
	for _, id := range ids {
		out = append(out, quarantine.Part{Service: "s", ID: id})
	}
	return out
}

// Guards against a running gateway that takes the time of day of a stored plan for the age of
// a version which it has seen being named. One that starts later has only that.
func TestStoredTimeOfDayCountsForGatewaysThatStartLater(t *testing.T) {
	is := is.New(t)
	g := newRestorableGateway(t)
	g.waitFor("configuration", func() bool { return g.mirror.Revision() > 0 })
	want := catalog.Target{Model: "m", Version: 4}
	g.store.Put(platform.TargetPrefix+"m", jsonText(`{"model":"m","version":4}`))
	g.store.Put(rollout.PlanPrefix+"m", jsonText(fmt.Sprintf(`{"model":"m","version":4,"named_ms":%d}`, time.Now().Add(-time.Minute).UnixMilli())))
	later := followStore(t, g.hostSettings.StoreAddress)
	for _, gateway := range []*gatewayProcess{g.gatewayProcess, later} {
		g.waitFor("plan", func() bool {
			_, ok := gateway.mirror.Get(rollout.PlanPrefix + "m")
			return ok && gateway.mirror.Revision() >= 3
		})
	}
	named, witnessed := g.gateway.Targets.NamedAt(want)
	is.True(witnessed)
	is.True(time.Since(named) < 30*time.Second)
	named, witnessed = later.gateway.Targets.NamedAt(want)
	is.True(!witnessed)
	is.True(time.Since(named) > 30*time.Second)
}
