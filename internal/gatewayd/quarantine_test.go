package gatewayd

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/peer"
	"github.com/citrontiller/citrontiller/platform"
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

// Guards against a gateway that does not take over what its peers observe.
func TestPeersReportsAreApplied(t *testing.T) {
	is := is.New(t)
	p := newProcess(Settings{}, platform.Settings{Name: "g0", Region: "r"}, zap.NewNop(), func() int64 { return 0 })
	part := quarantine.Part{Service: "s", ID: "deadly"}
	report := func(endpoint string, trial bool) {
		peerReceiver{p}.SuspicionReceived(peer.Suspicion{Reports: []quarantine.Report{{Crash: quarantine.Crash{Endpoint: endpoint, BootID: "1"},
			Suspects: []quarantine.Suspect{{Part: part, Trial: trial}}}}}, true)
	}
	report("i-1", false)
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Wait)
	peerReceiver{p}.SuspicionReceived(peer.Suspicion{Cleared: []quarantine.Part{part}}, true)
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Allowed)
	peerReceiver{p}.SuspicionReceived(peer.Suspicion{Blocks: []quarantine.Block{{Part: part, Until: time.Now().Add(time.Minute)}}}, true)
	is.Equal(p.quarantine.Enter([]quarantine.Part{part}, time.Now()).Verdict, quarantine.Blocked)
}
