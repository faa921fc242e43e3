package entry

import (
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/wire"
)

// rolloutWindow is how long endpoints may serve with weights other than the
// document's, after a change of the version or after this entry first received the
// document. Only a few engines load weights at the same time; without the window,
// a change would leave the service without endpoints until the first has loaded.
// A change must be in force everywhere within 19 s.
const rolloutWindow = 18 * time.Second

// rollouts records when the weights version of each service last changed.
type rollouts struct {
	mu       sync.Mutex
	versions map[string]rollout
}

// rollout is the weights version of a service and the time of its last change.
type rollout struct {
	version string
	since   time.Time
}

func newRollouts(t *config.Table) *rollouts {
	r := &rollouts{versions: map[string]rollout{}}
	t.OnChange(func(service string, e config.ActiveRecord) { r.set(service, e.Document.Version, time.Now()) })
	return r
}

func (r *rollouts) set(service, version string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cur, ok := r.versions[service]; !ok || cur.version != version {
		r.versions[service] = rollout{version, now}
	}
}

// required returns the version that an endpoint must report to serve a request. It
// is empty within the rollout window, when any version may serve.
func (r *rollouts) required(service, version string, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.versions[service].since) < rolloutWindow {
		return ""
	}
	return version
}

// versionOf returns the weights version with which an endpoint will serve a request:
// the required one, or during a rollout the one that it last reported.
func versionOf(rr *route.Request, wanted string, link *wire.Link, endpoint string) string {
	if rr.Version != "" {
		return rr.Version
	}
	if l := link.State().Loads[endpoint]; l.GetVersion() != "" {
		return l.GetVersion()
	}
	return wanted
}
