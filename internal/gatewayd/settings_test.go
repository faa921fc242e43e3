package gatewayd

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/platform"
)

// Guards against a misspelt mode that starts a gateway without the pace or the queue.
func TestModesAreChecked(t *testing.T) {
	is := is.New(t)
	for pace, bad := range map[string]bool{"adaptve": true, "": true, paceAdaptive: false, paceOff: false} {
		err := Settings{EndpointPace: pace}.Check()
		is.Equal(strings.Contains(err.Error(), "--endpoint-pace"), bad)
	}
	for queue, bad := range map[string]bool{"limitd": true, "": true, queueLimited: false, queueOff: false} {
		err := Settings{OverloadQueue: queue}.Check()
		is.Equal(strings.Contains(err.Error(), "--overload-queue"), bad)
	}
}

// Guards against a queue in deployments without limits, or against the operator's choice.
func TestQueueNeedsLimitsAndSetting(t *testing.T) {
	is := is.New(t)
	limited := `{"version":2,"tenants":[{"name":"acme","api_keys":["k"],"rate_per_s":5}]}`
	for _, c := range []struct {
		setting, config string
		queueing        bool
	}{{queueLimited, announcedConfig, false}, {queueOff, limited, false}, {queueLimited, limited, true}} {
		p := newProcess(Settings{OverloadQueue: c.setting}, platform.Settings{Name: "g0", Region: "r"}, zap.NewNop(), func() int64 { return 0 })
		is.True(!p.queueing()) // no configuration yet
		p.onStoreChange(infra.Event{Pair: infra.Pair{Key: platform.ConfigKey, Value: []byte(c.config), Revision: 1}})
		is.Equal(p.queueing(), c.queueing)
	}
}
