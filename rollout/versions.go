package rollout

import (
	"cmp"
	"slices"
)

// maxVersions bounds the versions kept for a model. The deadlines of older versions have passed.
const maxVersions = 32

// target is a version with what is known of its naming.
type target struct {
	version int64
	naming
}

// modelVersions holds the known versions of a model's weights.
type modelVersions struct {
	// newest is the newest version that the store has named to this process, 0 before the first.
	newest int64
	// known are in ascending order of version. Those after newest are known from other processes
	// only, because a starting process reads the store's keys in any order.
	known []target
}

// add adds a version, or what is known of its naming.
func (m *modelVersions) add(version int64, n naming) {
	i, ok := slices.BinarySearchFunc(m.known, version, func(v target, version int64) int { return cmp.Compare(v.version, version) })
	if ok {
		m.known[i].naming = m.known[i].merge(n)
		return
	}
	m.known = slices.Insert(m.known, i, target{version, n})
	if len(m.known) > maxVersions {
		m.known = slices.Delete(m.known, 0, 1)
	}
}

// inForce returns the versions up to the newest one, in ascending order. m may be nil.
func (m *modelVersions) inForce() []target {
	if m == nil {
		return nil
	}
	end := len(m.known)
	for end > 0 && m.known[end-1].version > m.newest {
		end--
	}
	return m.known[:end]
}
