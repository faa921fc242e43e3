package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// loadedWeights holds the version of each model's weights at an endpoint, as it is known from
// the list entry, responses and rollout plans. Each model has versions of its own.
type loadedWeights struct {
	// versions is replaced with each change, so that others may read it.
	versions map[string]int64
	// learntAt is when the version of a model was asked for, or read in the list.
	learntAt map[string]time.Time
	// cacheID changes with each version.
	cacheID string
}

// listedWeights returns the weights of a list entry that is read now.
func listedWeights(versions map[string]int64, now time.Time) loadedWeights {
	w := loadedWeights{versions: maps.Clone(versions), learntAt: map[string]time.Time{}}
	if w.versions == nil {
		w.versions = map[string]int64{}
	}
	for model := range versions {
		w.learntAt[model] = now
	}
	w.identify()
	return w
}

// keepNewer takes over what was known of the same incarnation if it is newer. Its list entry may
// be older than a response, and its weights never go back.
func (w *loadedWeights) keepNewer(before loadedWeights) {
	for model, v := range before.versions {
		if v >= w.versions[model] {
			w.versions[model], w.learntAt[model] = v, before.learntAt[model]
		}
	}
	w.identify()
}

// observe records the version of a model's weights that a response or a plan tells. at is when
// it was asked for: an older version counts only if it was asked for later.
func (w *loadedWeights) observe(model string, version int64, at time.Time) {
	known := w.versions[model]
	if version < known && !at.After(w.learntAt[model]) {
		return
	}
	w.learntAt[model] = at
	if version == known {
		return
	}
	w.versions = maps.Clone(w.versions)
	w.versions[model] = version
	w.identify()
}

// identify sets cacheID.
func (w *loadedWeights) identify() {
	w.cacheID = strconv.FormatUint(xxhash.Sum64String(w.String()), 16)
}

// String returns the versions as model=version, separated by commas.
func (w loadedWeights) String() string {
	var out []string
	for _, model := range slices.Sorted(maps.Keys(w.versions)) {
		out = append(out, fmt.Sprintf("%s=%d", model, w.versions[model]))
	}
	return strings.Join(out, ",")
}
