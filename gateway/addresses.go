package gateway

import (
	"slices"
	"strconv"

	"go.uber.org/zap"
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
	newest := int64(0)
	for _, id := range ids {
		newest = max(newest, d.endpoints[id].startedMs())
	}
	for _, id := range ids {
		r := d.endpoints[id]
		started := r.startedMs()
		superseded := started > 0 && started < newest
		if superseded == r.superseded {
			continue
		}
		r.superseded = superseded
		d.log.Info("endpoint superseded", zap.String("endpoint", id), zap.String("boot", r.BootID), zap.String("address", address), zap.Bool("superseded", superseded))
		d.publish(r)
	}
}

// startedMs returns the endpoint's start in Unix milliseconds, 0 if it is not known.
func (r *endpointRecord) startedMs() int64 {
	ms, err := strconv.ParseInt(r.BootID, 10, 64)
	if err != nil {
		return 0
	}
	return ms
}
