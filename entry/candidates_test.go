package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
)

// Guards against log sampling that drops decision records or suppresses the log
// lines of requests without an endpoint.
func TestDecisionLogSample(t *testing.T) {
	is := is.New(t)
	for every, want := range map[int]int{0: 2, 1: 10, 4: 4} {
		core, logs := observer.New(zap.InfoLevel)
		opts := DefaultOptions()
		opts.Log, opts.DecisionLogSample = zap.New(core), every
		s := New(opts, nil, nil)
		for range 8 {
			s.logDecision(route.Decision{RequestID: "a", Chosen: "e"})
		}
		s.logDecision(route.Decision{RequestID: "a"})
		s.logDecision(route.Decision{RequestID: "a"})
		is.Equal(logs.FilterMessage("route").Len(), want)
		is.Equal(len(s.decisions.forRequest("a")), 10)
	}
}

// Guards against requests that keep using the old endpoint selection settings
// after a new document is in force.
func TestPolicyFollowsDocument(t *testing.T) {
	is := is.New(t)
	s := New(DefaultOptions(), nil, nil)
	long := [][]byte{make([]byte, 64<<10)}
	for generation, doc := range []string{`{"service":"llm","model":"m"}`, `{"service":"llm","model":"m",
		"routing":{"cross_region_price_ms_per_mib":7,"eject_after_failures":8,"probe_interval_ms":9000},
		"engine":{"prefix_block_lifetime_ms":10000,"prefix_piece_tokens":1000}}`} {
		_, err := s.Config.SetIfNewer("llm", &config.Record{Generation: int64(generation + 1), Document: []byte(doc)})
		is.NoErr(err)
		e, _ := s.Config.Get("llm")
		r := s.routeRequest(&Request{Service: "llm", Model: "m", Document: e.Document, Segments: long})
		is.Equal(r.Policy, []route.Policy{
			{PriceMsPerMiB: 1024, EjectAfter: 3, ProbeInterval: time.Second, BlockLifetime: 8 * time.Second},
			{PriceMsPerMiB: 7, EjectAfter: 8, ProbeInterval: 9 * time.Second, BlockLifetime: 10 * time.Second}}[generation])
		is.Equal(r.Levels, prefix.ChainWithPieceTokens(prefix.Scope{Model: "m"}, long, e.Document.Engine.PrefixPieceTokens))
	}
}
