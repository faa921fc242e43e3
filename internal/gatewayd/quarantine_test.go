package gatewayd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/peer"
	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/platform/platformtest"
	"github.com/citrontiller/citrontiller/quarantine"
)

// Guards against a part of a prompt that crashes endpoints and is sent again after a
// restart of the gateways, and against a block that operators can't end.
func TestStoredBlockIsInForce(t *testing.T) {
	is := is.New(t)
	p := newProcess(Settings{}, platform.Settings{Name: "g0", Region: "r"}, zap.NewNop(), func() int64 { return 0 })
	part := quarantine.Part{Service: "s", ID: "deadly"}
	value, err := json.Marshal(blockRecord{Service: "s", Part: "deadly", UntilMs: time.Now().Add(time.Minute).UnixMilli()})
	is.NoErr(err)
	key := blockKey(part)
	p.onStoreChange(infra.Event{Pair: infra.Pair{Key: key, Value: value, Revision: 3}})
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Blocked)
	p.onStoreChange(infra.Event{Pair: infra.Pair{Key: key, Value: []byte("{"), Revision: 4}}) // keeps the last valid value
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Blocked)
	p.onStoreChange(infra.Event{Pair: infra.Pair{Key: key, Revision: 5}, Deleted: true})
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Allowed)
}

// Guards against a block that ends early or late because the time of day jumps while it is in
// force, and against one whose end was written by a clock far ahead.
func TestStoredBlockEndsByMonotonicClock(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	left := func(untilMs int64) time.Duration {
		value, err := json.Marshal(blockRecord{Service: "s", Part: "deadly", UntilMs: untilMs})
		is.NoErr(err)
		b, err := decodeBlock(value, now)
		is.NoErr(err)
		is.True(strings.Contains(b.Until.String(), " m=")) // has a monotonic reading
		return b.Until.Sub(now)
	}
	is.Equal(left(now.UnixMilli()+60_000), time.Minute)
	is.Equal(left(now.Add(time.Hour).UnixMilli()), quarantine.BlockTime)
	is.Equal(left(now.Add(-time.Hour).UnixMilli()), time.Duration(0))
	is.Equal(newBlockRecord(quarantine.Block{Until: now.Add(time.Minute)}, now).UntilMs, now.UnixMilli()+60_000)
}

// Guards against a decision that is lost: the log line of a block panicked, so that the
// request was aborted and the block was neither published nor written to the store.
func TestBlockIsLoggedAndStored(t *testing.T) {
	is := is.New(t)
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	var out bytes.Buffer
	log, err := process.LoggerTo(zapcore.AddSync(&out), "info")
	is.NoErr(err)
	p := newProcess(Settings{}, platform.Settings{Name: "g0", Region: "r", StoreAddress: server.Listener.Addr().String()}, log, func() int64 { return 0 })
	deadly := quarantine.Part{Service: "s", ID: "deadly"}
	var crashes []quarantine.Crash
	now := time.Now().Add(-time.Minute)
	for i := range 2 {
		crash := quarantine.Crash{Endpoint: fmt.Sprint("i-", i), BootID: "1"}
		crashes = append(crashes, crash)
		p.quarantine.Enter([]quarantine.Part{deadly}, now).Pass.Crashed(crash, now)
		now = now.Add(time.Second)
	}
	is.Equal(p.quarantine.Enter([]quarantine.Part{deadly}, now).Verdict, quarantine.Blocked)
	is.True(strings.Contains(out.String(), `msg="prompt part blocked" service=s part=deadly crashes=i-0/1,i-1/1`))
	var pair infra.Pair
	for end := time.Now().Add(5 * time.Second); pair.Revision == 0 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		pair, _ = p.store.Get(context.Background(), blockKey(deadly)) // not found until it is written
	}
	var r blockRecord
	is.NoErr(json.Unmarshal(pair.Value, &r))
	is.Equal(r.Part, "deadly")
	is.Equal(r.Crashes, crashes)
}

// Guards against a stored block of a sound part that binds gateways which start later until its
// end, also one that an earlier release has written, and against a next probe that a clock far
// ahead puts off.
func TestStoredBlockIsProbed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	decode := func(r blockRecord) quarantine.Block {
		r.Service, r.Part, r.UntilMs = "s", "p", now.Add(time.Minute).UnixMilli()
		value, err := json.Marshal(r)
		is.NoErr(err)
		b, err := decodeBlock(value, now)
		is.NoErr(err)
		return b
	}
	const interval = 24 * time.Second
	b := decode(newBlockRecord(quarantine.Block{Until: now.Add(time.Minute), ProbeAt: now.Add(4 * time.Second), ProbeInterval: interval}, now))
	is.Equal(b.ProbeInterval, interval)
	is.Equal(b.ProbeAt, now.Add(4*time.Second))
	is.Equal(decode(blockRecord{}).ProbeAt, now.Add(quarantine.FirstProbeInterval)) // of an earlier release
	ahead := decode(blockRecord{ProbeAtMs: now.Add(time.Hour).UnixMilli(), ProbeIntervalMs: interval.Milliseconds()})
	is.Equal(ahead.ProbeAt, now.Add(interval))
	due := decode(blockRecord{ProbeAtMs: now.Add(-time.Hour).UnixMilli(), ProbeIntervalMs: interval.Milliseconds()})
	is.Equal(due.ProbeAt, now)
}

// Guards against a block that outlives the response that proves its part sound: in the store, at
// the gateway that has probed it, and at the others.
func TestStartedProbeRemovesBlock(t *testing.T) {
	is := is.New(t)
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var gateways []*gatewayProcess
	for i := range 2 {
		p := newProcess(Settings{PollWait: time.Second}, platform.Settings{Name: fmt.Sprint("g", i), Region: "r", StoreAddress: server.Listener.Addr().String()},
			zap.NewNop(), func() int64 { return 0 })
		go p.mirror.Run(ctx)
		gateways = append(gateways, p)
	}
	part := quarantine.Part{Service: "s", ID: "sound"}
	enter := func(i int) quarantine.Decision {
		return gateways[i].quarantine.Enter([]quarantine.Part{part}, time.Now())
	}
	blockedBy := func(i int, blocked bool) func() bool {
		return func() bool { return gateways[i].quarantine.IsBlocked(part, time.Now()) == blocked }
	}
	value, err := json.Marshal(blockRecord{Service: "s", Part: part.ID, UntilMs: time.Now().Add(time.Minute).UnixMilli(), ProbeAtMs: time.Now().UnixMilli(), ProbeIntervalMs: 1})
	is.NoErr(err)
	_, err = gateways[0].store.CompareAndSwap(ctx, blockKey(part), 0, value, 0)
	is.NoErr(err)
	is.True(eventually(blockedBy(0, true)))
	is.True(eventually(blockedBy(1, true)))
	var probe quarantine.Decision
	is.True(eventually(func() bool { probe = enter(0); return probe.Verdict == quarantine.Allowed }))
	probe.Pass.Sent(time.Now())
	probe.Pass.Started(time.Now())
	is.True(blockedBy(0, false)())
	is.True(eventually(blockedBy(1, false))) // by the store, as there is no connection between them
	_, err = gateways[0].store.Get(ctx, blockKey(part))
	is.True(errors.Is(err, infra.ErrNotFound))
}

// eventually reports whether a condition holds before a limit that only a condition which never
// holds reaches, also beside load.
func eventually(ok func() bool) bool {
	const limit = 45 * time.Second
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// Guards against gateways that agree on no order of their probes.
func TestProbeTurnsDiffer(t *testing.T) {
	is := is.New(t)
	const fleet = 5
	turns := map[int]bool{}
	for i := range fleet {
		p := newProcess(Settings{}, platform.Settings{Name: fmt.Sprint("g", i), Region: "r"}, zap.NewNop(), func() int64 { return 0 })
		for j := range fleet {
			if j != i {
				p.peers.Put(peer.Record{Name: fmt.Sprint("g", j), Region: "r", Address: "127.0.0.1:1"})
			}
		}
		turns[p.probeTurn(7)] = true
	}
	is.Equal(turns, map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true})
}

// Guards against a gateway that does not take over what its peers observe.
func TestPeersReportsAreApplied(t *testing.T) {
	is := is.New(t)
	p := newProcess(Settings{}, platform.Settings{Name: "g0", Region: "r"}, zap.NewNop(), func() int64 { return 0 })
	part := quarantine.Part{Service: "s", ID: "deadly"}
	report := func(endpoint string, trial bool) {
		peerReceiver{p}.SuspicionReceived(peer.Suspicion{Reports: []quarantine.Report{{Crash: quarantine.Crash{Endpoint: endpoint, BootID: "1"},
			Suspects: []quarantine.Suspect{{Key: part.Key(), Trial: trial}}}}}, true)
	}
	report("i-1", false)
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Wait)
	peerReceiver{p}.SuspicionReceived(peer.Suspicion{Cleared: []quarantine.Key{part.Key()}}, true)
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Allowed)
	peerReceiver{p}.SuspicionReceived(peer.Suspicion{Blocks: []quarantine.Block{{Part: part, Until: time.Now().Add(time.Minute)}}}, true)
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Blocked)
	peerReceiver{p}.SuspicionReceived(peer.Suspicion{Cleared: []quarantine.Key{part.Key()}}, true) // its probe has started
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Allowed)
}
