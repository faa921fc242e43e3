package gateway

import (
	"slices"
	"strconv"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
)

// addressIndex holds the ids of the listed endpoints by address. Usually there is one at
// each: the entry of an endpoint that has ended may be listed for some seconds beside that
// of the next one at its address, and a restored store may list it again.
type addressIndex map[string][]string

func (x addressIndex) add(address, id string) {
	if !slices.Contains(x[address], id) {
		x[address] = append(x[address], id)
	}
}

func (x addressIndex) remove(address, id string) {
	x[address] = slices.DeleteFunc(x[address], func(other string) bool { return other == id })
	if len(x[address]) == 0 {
		delete(x, address)
	}
}

// updateSuperseded finds out which endpoints listed at an address have a successor there,
// and publishes those for which that has changed. The caller holds mu.
func (d *Directory) updateSuperseded(address string) {
	ids := d.byAddress[address]
	var latest *endpointRecord
	for _, id := range ids {
		if r := d.endpoints[id]; latest == nil || latest.startedMs() == 0 || r.succeeds(latest) {
			latest = r // an unknown start time is succeeded by any
		}
	}
	for _, id := range ids {
		r := d.endpoints[id]
		superseded := latest.succeeds(r)
		if superseded == r.superseded {
			continue
		}
		r.superseded = superseded
		d.log.Info("endpoint superseded", zap.String("endpoint", id), zap.String("boot", r.BootID), zap.String("address", address), zap.Bool("superseded", superseded))
		d.publish(r)
	}
}

// maxClockJumpMs is the difference of two start times, in milliseconds, up to which the
// clock of their host may have jumped in between.
const maxClockJumpMs = 10_000

// succeeds reports whether the endpoint started after another one at its address. Within
// maxClockJumpMs the order of the store's revisions decides, as the endpoint that started later
// has written its entry later. That doesn't hold for entries from before and after a restore of
// the store. Equal start times are those of one process.
func (r *endpointRecord) succeeds(other *endpointRecord) bool {
	started, before := r.startedMs(), other.startedMs()
	if started == 0 || before == 0 || started == before {
		return false
	}
	near := max(started-before, before-started) <= maxClockJumpMs
	if near && r.revision != other.revision && infra.Era(r.revision) == infra.Era(other.revision) {
		return r.revision > other.revision
	}
	return started > before
}

// startedMs returns the endpoint's start in Unix milliseconds, 0 if it is not known.
func (r *endpointRecord) startedMs() int64 {
	ms, err := strconv.ParseInt(r.BootID, 10, 64)
	if err != nil {
		return 0
	}
	return ms
}
