package entry

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/citrontiller/citrontiller/route"
)

// Guards against sampling that drops records or hides requests without an endpoint.
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
		is.Equal(len(s.decisions.of("a")), 10)
	}
}
