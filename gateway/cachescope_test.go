package gateway

import (
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citrontiller/citrontiller/catalog"
)

// dedicate returns testConfig as a version with the accounts acme, bolt and coil, of which those
// named are dedicated.
func dedicate(version int64, dedicated ...string) *catalog.Config {
	c := testConfig
	c.Version = version
	c.Accounts = map[string]*catalog.Account{"k": {Name: "acme"}, "k-bolt": {Name: "bolt"}, "k-coil": {Name: "coil"}}
	for _, name := range dedicated {
		for _, a := range c.Accounts {
			a.Dedicated = a.Dedicated || a.Name == name
		}
		c.DedicatedAccounts = append(c.DedicatedAccounts, name)
	}
	c.Index()
	return &c
}

// askModel sends a request for a model with an account's key and returns the status.
func (f *fleet) askModel(t *testing.T, key string) int {
	t.Helper()
	req := f.request(t, http.MethodPost, "/read/x", "id-"+t.Name(), "")
	req.Header.Set("Key", key)
	req.Header.Set("Model", "m")
	resp, err := f.open(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close() // it was read as far as needed
	return resp.StatusCode
}

// Guards against other accounts using the cached prompts of an account that has become
// dedicated: the salt under which it shared them is not used any more.
func TestDedicatedAccountLeavesNoCachedPrompts(t *testing.T) {
	is := is.New(t)
	salts := make(chan string, 1)
	f := newFleet(t, []responder{func(w http.ResponseWriter, r *http.Request) {
		salts <- r.Header.Get("Salt")
		ok("body")(w, r)
	}})
	ask := func(key string) string {
		is.Equal(f.askModel(t, key), http.StatusOK)
		return <-salts
	}
	f.gateway.Config.SetIfNewer(dedicate(4))
	shared := ask("k")
	is.Equal(ask("k-bolt"), shared)
	f.gateway.Config.SetIfNewer(dedicate(5, "acme"))
	own, others := ask("k"), ask("k-bolt")
	is.True(own != shared)
	is.True(others != shared)
	is.True(others != own)
	is.Equal(ask("k-coil"), others)
}

// Guards against a request that a configuration overtakes: what is sent after the change
// follows the new one, although the request was accepted under the old one.
func TestAccountBecomesDedicatedDuringRequest(t *testing.T) {
	for _, key := range []string{"k", "k-bolt"} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			salts := make(chan string, 3)
			var f *fleet
			respond := func(w http.ResponseWriter, r *http.Request) {
				salts <- r.Header.Get("Salt")
				if f.gateway.Config.SetIfNewer(dedicate(5, "acme")) {
					refuseNotRun(http.StatusServiceUnavailable)(w, r)
					return
				}
				ok("body")(w, r)
			}
			f = newFleet(t, []responder{respond}, []responder{respond})
			f.gateway.Config.SetIfNewer(dedicate(4))
			is.Equal(f.askModel(t, key), http.StatusOK)
			is.Equal(f.askModel(t, key), http.StatusOK)
			before, overtaken, after := <-salts, <-salts, <-salts
			is.True(overtaken != before)
			is.Equal(overtaken, after)
		})
	}
}

// sharingModel is two gateways of which one may be behind with the configuration, the requests that
// they have accepted and not sent yet, and an engine's cache.
type sharingModel struct {
	// configs are all configurations, the newest one last.
	configs  []*catalog.Config
	gateways [2]*Gateway
	waiting  []*exchange
	// makers are the accounts that have filled the cache under each salt, and salts the salt of
	// each level hash.
	makers map[string]map[string]bool
	salts  map[uint64]string
}

func newSharingModel() *sharingModel {
	m := &sharingModel{configs: []*catalog.Config{dedicate(1)}, makers: map[string]map[string]bool{}, salts: map[uint64]string{}}
	for i := range m.gateways {
		m.gateways[i] = &Gateway{Config: &catalog.ActiveConfig{}}
		m.gateways[i].Config.SetIfNewer(m.newest())
	}
	return m
}

func (m *sharingModel) newest() *catalog.Config { return m.configs[len(m.configs)-1] }

// change names a configuration in which up to two accounts are dedicated.
func (m *sharingModel) change(t *rapid.T) {
	names := rapid.SampledFrom([]string{"acme", "bolt", "coil"})
	dedicated := rapid.SliceOfNDistinct(names, 0, 2, rapid.ID).Draw(t, "dedicated")
	m.configs = append(m.configs, dedicate(m.newest().Version+1, dedicated...))
}

// apply tells a gateway one of the configurations.
func (m *sharingModel) apply(t *rapid.T) {
	g := m.gateways[rapid.IntRange(0, 1).Draw(t, "gateway")]
	g.Config.SetIfNewer(m.configs[rapid.IntRange(0, len(m.configs)-1).Draw(t, "config")])
}

// accept has a gateway accept a request, which may have no account.
func (m *sharingModel) accept(t *rapid.T) {
	g := m.gateways[rapid.IntRange(0, 1).Draw(t, "gateway")]
	name := rapid.SampledFrom([]string{"acme", "bolt", "coil", ""}).Draw(t, "account")
	info := RequestInfo{Model: "m", PromptParts: []PromptPart{{ID: "p", Tokens: 100}}}
	m.waiting = append(m.waiting, &exchange{g: g, info: info, account: account(g.Config.Current(), name)})
}

// send sends a request that has been accepted. It fails if the gateway has the newest
// configuration and the request finds prompts that it must not use.
func (m *sharingModel) send(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("no request waits")
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "request")
	x := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	salt, level := x.salt(1), x.prefixLevels()[0].Hash
	if known, ok := m.salts[level]; ok && known != salt {
		t.Fatalf("the tracker has one hash for the salts %.8s and %.8s", known, salt)
	}
	m.salts[level] = salt
	if m.makers[salt] == nil {
		m.makers[salt] = map[string]bool{}
	}
	m.makers[salt][x.accountName()] = true
	if x.g.Config.Current() == m.newest() {
		checkSharing(t, m.newest(), x.accountName(), m.makers[salt])
	}
}

// Guards against two accounts sharing cached prompts although one of them is dedicated in the
// newest configuration, whatever the order of configurations, of requests that wait while they
// change, and of two gateways of which one is behind.
func TestDedicatedAccountsShareNoCachedPrompts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSharingModel()
		t.Repeat(map[string]func(*rapid.T){"change": m.change, "apply": m.apply, "accept": m.accept, "send": m.send})
	})
}

// account returns the account of a name in a configuration.
func account(c *catalog.Config, name string) *catalog.Account {
	for _, a := range c.Accounts {
		if a.Name == name {
			return a
		}
	}
	return nil
}

// checkSharing fails if user finds cached prompts of another account although one of the two is
// dedicated.
func checkSharing(t *rapid.T, c *catalog.Config, user string, makers map[string]bool) {
	for maker := range makers {
		for _, name := range []string{user, maker} {
			a := account(c, name)
			if maker != user && a != nil && a.Dedicated {
				t.Fatalf("version %d: %q uses cached prompts of %q although %q is dedicated", c.Version, user, maker, name)
			}
		}
	}
}

// Guards against sharing the prompt of a dedicated account that a configuration removes while its
// request waits.
func TestRemovedDedicatedAccountStaysApart(t *testing.T) {
	is := is.New(t)
	g := &Gateway{Config: &catalog.ActiveConfig{}}
	g.Config.SetIfNewer(dedicate(4, "acme"))
	x := &exchange{g: g, info: RequestInfo{Model: "m"}, account: account(g.Config.Current(), "acme")}
	own := x.salt(1)
	removed := dedicate(5)
	delete(removed.Accounts, "k")
	g.Config.SetIfNewer(removed)
	is.Equal(x.salt(1), own)
}

// Guards against a dedicated account without a name that shares its cached prompts with all
// accounts of a configuration without dedicated ones.
func TestNamelessDedicatedAccountStaysApart(t *testing.T) {
	is := is.New(t)
	g := &Gateway{Config: &catalog.ActiveConfig{}}
	g.Config.SetIfNewer(dedicate(4))
	shared := (&exchange{g: g, info: RequestInfo{Model: "m"}}).salt(1)
	g.Config.SetIfNewer(dedicate(5, ""))
	x := &exchange{g: g, info: RequestInfo{Model: "m"}, account: &catalog.Account{Dedicated: true}}
	is.True(x.salt(1) != shared)
	x.account = nil // a request without an account isn't one of the dedicated account
	is.True(x.salt(1) != shared)
}
