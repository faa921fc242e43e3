package entry

import (
	"sync"
	"time"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/wire"
)

// rolloutWindow is how long endpoints with other weights than the document's
// may serve after an edit, or after this entry first saw the document. Engines
// load a few at a time; without the window an edit would leave the service
// without endpoints until the first has loaded. An edit must be in force
// everywhere within 19 s.
const rolloutWindow = 18 * time.Second

// rollouts remembers when each service's weights version was last changed.
type rollouts struct {
	mu       sync.Mutex
	versions map[string]rollout
}

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

// required returns the version an endpoint must report to serve a request;
// empty while a rollout is under way and any version may serve.
func (r *rollouts) required(service, version string, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.versions[service].since) < rolloutWindow {
		return ""
	}
	return version
}

// versionOf returns the version of the weights that will answer at an
// endpoint: the required one, or during a rollout the one it last reported.
func versionOf(rr *route.Request, wanted string, link *wire.Link, endpoint string) string {
	if rr.Version != "" {
		return rr.Version
	}
	if l := link.State().Loads[endpoint]; l.GetVersion() != "" {
		return l.GetVersion()
	}
	return wanted
}
