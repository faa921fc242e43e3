package agent

import (
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
)

// settings are the per-attempt settings from a service's document.
type settings struct {
	// streamBuffer is the size of a replay buffer in bytes.
	streamBuffer int
	// detachGrace is how long an idempotent attempt runs without a reader.
	detachGrace time.Duration
}

// defaultWeight is the weight of a client account that is not in the document.
const defaultWeight = 1

// weight returns a client account's weight from the service's document.
func (s *Server) weight(service, account string) int {
	e, ok := s.Config.Get(service)
	if !ok {
		return defaultWeight
	}
	for i := range e.Document.Accounts {
		if e.Document.Accounts[i].Name == account {
			return e.Document.Accounts[i].Weight
		}
	}
	return defaultWeight
}

// configure applies the document in force to the endpoints of a service.
// Attempts that were opened before keep their replay buffer. It reads the
// current document, because notifications of two records may arrive out of order.
func (s *Server) configure(service string) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	e, ok := s.Config.Get(service)
	if !ok {
		return
	}
	doc := e.Document
	for _, ep := range s.endpoints {
		if ep.Service != service {
			continue
		}
		ep.settings.Store(&settings{streamBuffer: doc.Limits.StreamBufferBytes, detachGrace: milliseconds(doc.Timeouts.DetachGraceMs)})
		ep.queue.SetReserve(doc.Engine.ShortReservePercent)
		if ep.Kind != infra.Engine {
			continue // the limit of a plain service is fixed
		}
		limit := ep.limiter.Configure(doc.Engine.MinConcurrency, doc.Engine.MaxConcurrency, milliseconds(int64(doc.Engine.TokenGapTargetMs)))
		ep.queue.SetLimit(limit)
		s.log.Info("endpoint configured", zap.String("endpoint", ep.ID), zap.Int64("generation", e.Record.Generation), zap.Int("limit", limit))
	}
}
