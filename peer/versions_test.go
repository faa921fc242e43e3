package peer

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/rollout"
)

const (
	// versionDeadline is the age of a version from which older weights must not serve, and
	// versionMargin how long before it they may be refused.
	versionDeadline = 12 * time.Second
	versionMargin   = time.Second
	// startTime is the time after its start from which a gateway must know all versions.
	startTime = 4 * time.Second
	// connectionTimeout is the pause after which the other gateways have closed a gateway's
	// connections.
	connectionTimeout = pingInterval + pingTimeout
	// modelName is the model of all versions.
	modelName = "m"
)

// storeCopy is what the store holds: the version named last and the stored plan, nil before the
// first one.
type storeCopy struct {
	version int64
	plan    []byte
}

// versionGateway is a gateway, with nil targets while its process doesn't run.
type versionGateway struct {
	targets *rollout.Targets
	// frozen is true while the process is paused and gets no changes and no batches, and frozenAt
	// when its last pause began.
	frozen   bool
	frozenAt time.Time
	// since is the time since which the process runs without a pause.
	since time.Time
}

func (g *versionGateway) runs() bool { return g.targets != nil && !g.frozen }

// versionModel is three gateways and a store, in simulated time. Nothing takes time but "wait".
type versionModel struct {
	now      time.Time
	gateways [3]versionGateway
	// holder is the index of the gateway that held the rollout lock last.
	holder int
	store  storeCopy
	// copies are all states of the store, and named the times at which versions were named.
	copies []storeCopy
	named  map[int64]time.Time
	// restoredAt is the time of the last restore of the store. planLost is true if no plan was
	// stored since then, or since the newest version was named.
	restoredAt time.Time
	planLost   bool
	// unsure is the longest pause, connectionTimeout at most: a version that was named in it may
	// count as so much older if no process is left that has seen it being named.
	unsure time.Duration
}

func newVersionModel() *versionModel {
	m := &versionModel{now: time.Now().Truncate(time.Millisecond), named: map[int64]time.Time{}}
	m.store.version, m.named[1] = 1, m.now.Add(-time.Hour)
	m.copies = []storeCopy{m.store}
	for i := range m.gateways {
		m.startGateway(&m.gateways[i], []string{"store"})
	}
	return m
}

// running returns the gateways that run, with the holder of the rollout lock first if it does.
func (m *versionModel) running() (out []*versionGateway) {
	for i := range m.gateways {
		g := &m.gateways[(m.holder+i)%len(m.gateways)]
		if g.runs() {
			out = append(out, g)
		}
	}
	return out
}

// draw returns one of the gateways.
func (m *versionModel) draw(t *rapid.T) *versionGateway {
	return &m.gateways[rapid.IntRange(0, len(m.gateways)-1).Draw(t, "gateway")]
}

// wait lets time pass.
func (m *versionModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
}

// name names the next version while a gateway runs.
func (m *versionModel) name(t *rapid.T) {
	if len(m.running()) == 0 {
		t.Skip("no gateway runs")
	}
	next := int64(len(m.named) + 1)
	m.named[next] = m.now
	m.store.version = next
	m.copies = append(m.copies, m.store)
	for _, g := range m.running() {
		g.targets.SetIfNewer(catalog.Target{Model: modelName, Version: next}, m.now)
	}
	m.planLost = true
	m.announce()
}

// acquire gives the rollout lock to another gateway if the holder doesn't run.
func (m *versionModel) acquire(t *rapid.T) {
	if len(m.running()) == 0 {
		t.Skip("no gateway runs")
	}
	next := m.running()[0]
	m.holder = slices.IndexFunc(m.gateways[:], func(g versionGateway) bool { return g.targets == next.targets })
	m.announce()
}

// announce has the holder announce and store its plan if it runs.
func (m *versionModel) announce() {
	holder := &m.gateways[m.holder]
	if !holder.runs() {
		return
	}
	newest := holder.targets.Latest()[0]
	named, witnessed := holder.targets.NamedAt(newest)
	plan := rollout.Plan{Model: modelName, Version: newest.Version, Named: named, Witnessed: witnessed}
	batch, told := encodePlan(plan, m.now), encodeNamings(holder.targets, modelName, m.now)
	for _, g := range m.running()[1:] {
		for _, target := range told {
			applyTarget(g.targets, target, m.now)
		}
		decodePlan(batch, m.now).Backdate(g.targets, m.now)
	}
	m.store.plan, _ = json.Marshal(plan.Stored(holder.targets, m.now)) // strings and integers always encode
	m.copies = append(m.copies, m.store)
	m.planLost = false
}

// kill ends a process.
func (m *versionModel) kill(t *rapid.T) {
	g := m.draw(t)
	if m.planLost && len(m.running()) < 2 {
		t.Skip("nobody would know the newest versions")
	}
	*g = versionGateway{}
}

// start starts a process. It reads the keys of the store and hears from the others in any order.
func (m *versionModel) start(t *rapid.T) {
	g := m.draw(t)
	if g.targets != nil {
		t.Skip("the gateway runs")
	}
	m.startGateway(g, rapid.Permutation([]string{"store", "plan", "peers"}).Draw(t, "order"))
}

func (m *versionModel) startGateway(g *versionGateway, order []string) {
	*g = versionGateway{targets: &rollout.Targets{Deadline: versionDeadline}, since: m.now}
	for _, source := range order {
		switch source {
		case "store":
			g.targets.SetFoundIfNewer(catalog.Target{Model: modelName, Version: m.store.version}, m.now)
		case "plan":
			m.readPlan(g)
		case "peers":
			m.connect(g)
		}
	}
}

// readPlan reads the stored plan.
func (m *versionModel) readPlan(g *versionGateway) {
	if plan, err := rollout.ParsePlan(m.store.plan); err == nil { // there may be none
		plan.Backdate(g.targets, m.now)
	}
}

// connect exchanges first batches between a gateway and the others.
func (m *versionModel) connect(g *versionGateway) {
	for _, other := range m.running() {
		for _, pair := range [][2]*versionGateway{{other, g}, {g, other}} {
			for _, target := range encodeNamings(pair[0].targets, modelName, m.now) {
				applyTarget(pair[1].targets, target, m.now)
			}
		}
	}
}

// freeze pauses a process.
func (m *versionModel) freeze(t *rapid.T) {
	g := m.draw(t)
	if !g.runs() || len(m.running()) < 2 {
		t.Skip("the last gateway that runs")
	}
	g.frozen, g.frozenAt = true, m.now
}

// thaw lets a paused process run. It gets the newest state of the store. After a short pause its
// connections to the others have lasted, so that it hears only what the holder announces next.
func (m *versionModel) thaw(t *rapid.T) {
	g := m.draw(t)
	if !g.frozen {
		t.Skip("the gateway isn't frozen")
	}
	pause := m.now.Sub(g.frozenAt)
	g.frozen, g.since = false, m.now
	g.targets.SetIfNewerAfterPause(catalog.Target{Model: modelName, Version: m.store.version}, pause, m.now)
	m.unsure = max(m.unsure, min(pause, connectionTimeout))
	m.readPlan(g)
	if pause >= connectionTimeout {
		m.connect(g)
	}
	m.announce()
}

// restore brings the store back to an older state. The operator names the newest version again.
func (m *versionModel) restore(t *rapid.T) {
	if len(m.running()) == 0 {
		t.Skip("nobody would know the versions from before the restore")
	}
	m.store = m.copies[rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy")]
	m.store.version = int64(len(m.named))
	m.restoredAt, m.planLost = m.now, true
}

// check compares what each gateway that has run for startTime requires with the times at which
// the versions were named. After a restore, versions count from then.
func (m *versionModel) check(t *rapid.T) {
	for i, g := range m.gateways {
		if !g.runs() || m.now.Sub(g.since) < startTime {
			continue
		}
		required, _ := g.targets.Version(modelName, m.now)
		required = max(1, required) // no weights are older
		if due := m.newestOlderThan(versionDeadline, m.restoredAt); required < due {
			t.Fatalf("gateway %d requires version %d, due is %d", i, required, due)
		}
		if allowed := m.newestOlderThan(versionDeadline-versionMargin-m.unsure, time.Time{}); required > allowed {
			t.Fatalf("gateway %d requires version %d, none after %d is due", i, required, allowed)
		}
	}
}

// newestOlderThan returns the newest version that was named longer ago than age, and before a
// time was over for as long.
func (m *versionModel) newestOlderThan(age time.Duration, after time.Time) (newest int64) {
	for version, named := range m.named {
		if min(m.now.Sub(named), m.now.Sub(after)) > age {
			newest = max(newest, version)
		}
	}
	return newest
}

// Guards against gateways that use weights beyond a version's deadline, or refuse them before it,
// when versions come closer together than that, and gateways start, are killed or pause, and the
// store is restored between them.
func TestDeadlinesOutliveRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newVersionModel()
		t.Repeat(map[string]func(*rapid.T){"": m.check, "wait": m.wait, "wait more": m.wait, "name": m.name, "acquire": m.acquire, "kill": m.kill, "start": m.start,
			"freeze": m.freeze, "thaw": m.thaw, "restore": m.restore})
	})
}
