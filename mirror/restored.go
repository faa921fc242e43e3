package mirror

import (
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
)

// noteEra recognizes the first reply of a service that was restored from an older copy.
// Owners of keys then need rejoinGrace to write them again, as after an outage.
func (m *Mirror) noteEra(r reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.revision
	if before == 0 || infra.Era(r.revision) <= infra.Era(before) {
		return
	}
	m.resumedAt = time.Now()
	m.Log.Warn("store restored from an older copy", zap.String("source", string(r.source)), zap.Int64("from", before), zap.Int64("revision", r.revision))
}
