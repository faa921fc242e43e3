package gatewayd

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/platform"
)

// Guards against a configuration with a wrong quota that replaces a sound one, and against
// operators who can't see why an older version stays in force.
func TestConfigurationWithErrorsIsNotPutInForce(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	p := newProcess(Settings{}, platform.Settings{Name: "g0", Region: "r"}, zap.New(core), func() int64 { return 0 })
	put := func(revision int64, value string) {
		p.onStoreChange(infra.Event{Pair: infra.Pair{Key: platform.ConfigKey, Value: []byte(value), Revision: revision}})
	}
	put(1, announcedConfig)
	put(2, `{"version":2,"tenants":[{"name":"acme","api_keys":["k"],"rate_per_s":10,"burst":-10,"unit":"token"}]}`)
	is.Equal(p.gateway.Config.Current().Version, int64(1))
	kept := logs.FilterMessage("configuration has errors; the one before stays in force").All()
	is.Equal(len(kept), 1)
	first := kept[0].ContextMap()["first"].(string)
	is.True(strings.Contains(first, "tenants[acme].burst: -10") && strings.Contains(first, `tenants[acme].unit: "token"`))
	put(3, `{"version":3,"services":[{"name":"unused"}]}`) // a warning doesn't matter
	is.Equal(p.gateway.Config.Current().Version, int64(3))
}
