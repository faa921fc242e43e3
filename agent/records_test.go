package agent

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// Guards against an agent that accepts a record that is invalid, has a lower
// generation or belongs to a service without an endpoint at the agent.
func TestRecords(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, err := New(DefaultOptions(), []Endpoint{{ID: "e", Service: "llm"}}, func(Endpoint) (Driver, error) { return nil, nil })
	is.NoErr(err)
	put := func(service string, generation, retries int) *pb.PutReply {
		r, err := s.Put(ctx, &pb.PutRequest{Service: service, Record: fmt.Appendf(nil,
			`{"generation":%d,"change_id":"c","document":{"service":%q,"model":"m","budgets":{"retry_percent":%d}}}`, generation, service, retries)})
		is.NoErr(err)
		return r
	}
	is.Equal(put("llm", 2, 20).Error, "")
	is.True(put("llm", 3, 101).Error != "") // out of range
	is.True(put("other", 9, 1).Error != "")
	is.Equal(put("llm", 1, 1).Generation, int64(2))
	for generation, need := range map[int64]bool{1: false, 2: false, 3: true} {
		r, err := s.Offer(ctx, &pb.OfferRequest{Service: "llm", Generation: generation})
		is.NoErr(err)
		is.Equal(r.Need, need)
	}
	records, err := s.Records(ctx, &pb.RecordsRequest{})
	is.NoErr(err)
	is.Equal(len(records.Records), 1)
	e, _ := s.Config.Get("llm")
	is.Equal(e.Document.Budgets.RetryPercent, 20)
}
