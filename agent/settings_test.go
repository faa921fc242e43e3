package agent

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/admit"
	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/infra"
)

// Guards against a document that is stored but not applied, and against an older
// generation that replaces a newer one.
func TestDocumentIsApplied(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	s, err := New(opts, []Endpoint{{ID: "e", Service: "llm", Kind: infra.Engine}, {ID: "o", Service: "other", Kind: infra.Engine}},
		func(Endpoint) (Driver, error) { return nil, nil })
	is.NoErr(err)
	put := func(generation int64, doc string) {
		data, err := json.Marshal(config.Record{Generation: generation, Document: json.RawMessage(doc)})
		is.NoErr(err)
		is.NoErr(s.put("llm", data))
	}
	is.Equal(s.weight("llm", "big"), defaultWeight)
	put(2, `{"service":"llm","kind":"engine","model":"m","version":"v","accounts":[{"name":"big","weight":7}],
		"limits":{"stream_buffer_bytes":8192},"timeouts":{"detach_grace_ms":250},
		"engine":{"min_concurrency":2,"max_concurrency":8,"short_reserve_percent":50,"token_gap_target_ms":10}}`)
	put(1, `{"service":"llm","kind":"engine","model":"m","version":"v","accounts":[]}`)
	is.Equal(s.weight("llm", "big"), 7)
	is.Equal(s.weight("llm", "small"), defaultWeight)
	ep := s.endpoints["e"]
	is.Equal(*ep.settings.Load(), settings{streamBuffer: 8192, detachGrace: 250 * time.Millisecond})
	_, _, limit := ep.queue.Counts()
	is.Equal(limit, 8) // was 16
	long := 0
	for range 8 {
		ticket, err := ep.queue.Add(admit.Item{Account: "big", Weight: ep.weight("llm", "big"), Cost: time.Hour})
		is.NoErr(err)
		select {
		case <-ticket.Ready:
			long++
		default:
		}
	}
	is.Equal(long, 4) // half of the slots are reserved for short requests
	_, _, limit = s.endpoints["o"].queue.Counts()
	is.Equal(limit, opts.Concurrency) // belongs to another service
}
