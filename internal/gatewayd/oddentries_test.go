package gatewayd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/platform"
	"github.com/citrontiller/citrontiller/platform/platformtest"
)

// entryAt returns the entry of an endpoint at an address, with one field replaced, or left out if
// the value is empty.
func entryAt(address, name, value string) string {
	fields := map[string]string{"service": `"s"`, "address": fmt.Sprintf("%q", address), "zone": `"z"`, "slots": "8", "state": `"ready"`, "born": "2", "models": "[]",
		"version": `"1"`, "cold_remaining_ms": "0", "sequence": "1"}
	fields[name] = value
	var out []string
	for name, value := range fields {
		if value != "" {
			out = append(out, fmt.Sprintf("%q:%s", name, value))
		}
	}
	return "{" + strings.Join(out, ",") + "}"
}

// oddEntries are values that another writer may have left among the entries of endpoints.
func oddEntries() map[string]string {
	entry := func(name, value string) string { return entryAt("127.0.0.1:9", name, value) }
	odd := map[string]string{
		"no JSON":      "\x00\xff{",
		"deep":         strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"deep field":   entry("extra", strings.Repeat(`{"a":`, 200_000)+"1"+strings.Repeat("}", 200_000)),
		"empty":        "",
		"null":         "null",
		"array":        "[]",
		"two values":   entry("slots", "8") + entry("slots", "8"),
		"no service":   entry("service", ""),
		"odd service":  entry("service", "7"),
		"no zone":      entry("zone", `""`),
		"odd state":    entry("state", `"asleep"`),
		"null state":   entry("state", "null"),
		"early born":   entry("born", "-1"),
		"split born":   entry("born", "1.5"),
		"long born":    entry("born", "1e400"),
		"odd models":   entry("models", `{"name":"m"}`),
		"model 0":      entry("models", `[{"name":"m","version":0}]`),
		"model below":  entry("models", `[{"name":"m","version":-3}]`),
		"large model":  entry("models", `[{"name":"m","version":9223372036854775807}]`),
		"no name":      entry("models", `[{"version":1}]`),
		"larger model": entry("models", `[{"name":"m","version":9223372036854775808}]`),
	}
	for _, slots := range []string{"", "null", "-1", "0", "9223372036854775807", "9223372036854775808", "1e99", "1.5", `"8"`} {
		odd["slots "+slots] = entry("slots", slots)
	}
	for _, address := range []string{"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:65536", "127.0.0.1:99999", ":80", "host:80",
		"[::1", "127.0.0.1:80/x", "http://127.0.0.1:80", "127.0.0.1:99999999999999999999", "127.0.0.1:80 "} {
		odd["address "+address] = entry("address", fmt.Sprintf("%q", address))
	}
	return odd
}

// Guards against requests to an endpoint that an odd entry seems to name, and against a
// gateway that stops following the list or ends because of the entry.
func TestOddEntryNamesNoEndpoint(t *testing.T) {
	f := newAnnouncedFleet(t, 1)
	for name, value := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			f.put("servers/odd", value)
			is.True(time.Since(began) < time.Second)
			_, listed := f.process.gateway.Members.Endpoint("odd")
			is.True(!listed)
			f.list(0, "ready", 1) // the list is followed
			is.Equal(f.call().StatusCode, http.StatusOK)
		})
	}
	for _, key := range []string{"servers/", "servers/a b", "servers/a\r\nX: y", "servers/ä", "servers/" + strings.Repeat("x", 200)} {
		is := is.New(t)
		f.put(key, entryAt("127.0.0.1:9", "", ""))
		is.Equal(len(f.process.gateway.Members.Hosts()), 1)
	}
}

// Guards against an entry of another writer that takes an endpoint's address: it names no
// endpoint, but the one at the address counted as gone, and got no requests.
func TestEntryOfOtherWriterTakesNoAddress(t *testing.T) {
	for _, tc := range []struct{ field, value string }{
		{"service", `"inventory"`}, {"service", ""}, {"state", `"asleep"`},
		{"version", ""}, {"version", "1"}, {"version", "null"}, {"cold_remaining_ms", ""}, {"cold_remaining_ms", `"0"`}, {"sequence", ""}, {"sequence", "1.5"},
		{"sequence", "null"}, {"stage", "1"}, {"models", `[{"name":"m","version":1,"adapters":"a"}]`},
	} {
		t.Run(tc.field+" "+tc.value, func(t *testing.T) {
			is := is.New(t)
			f := newAnnouncedFleet(t, 1)
			f.put("servers/odd", entryAt(f.servers[0].Listener.Addr().String(), tc.field, tc.value))
			is.Equal(f.call().StatusCode, http.StatusOK)
			_, listed := f.process.gateway.Members.Endpoint("odd")
			is.True(!listed)
		})
	}
}

// Guards against a check of services that leaves out an endpoint which is listed before the
// configuration that names its service.
func TestServiceIsNamedLater(t *testing.T) {
	is := is.New(t)
	f := newAnnouncedFleet(t, 1)
	f.put("servers/later", entryAt("127.0.0.1:9", "service", `"t"`))
	is.Equal(len(f.process.gateway.Members.Service("t")), 0)
	f.put(platform.ConfigKey, strings.Replace(strings.Replace(announcedConfig, `"version":1`, `"version":2`, 1), `"service":"s"`, `"service":"t"`, 1))
	is.Equal(len(f.process.gateway.Members.Service("t")), 1)
	is.Equal(len(f.process.gateway.Members.Service("s")), 1) // still listed, for the weights that it loads
}

// Guards against large entries of another writer that keep a gateway from all later changes of
// the store, such as a configuration or an endpoint that leaves.
func TestLargeEntriesHideNoChange(t *testing.T) {
	is := is.New(t)
	const blobs, valueBytes = 7, 1 << 20 // over 8 MiB in base64
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var gateways []*gatewayProcess
	start := func(name string) {
		p := newProcess(Settings{PollWait: 4 * time.Second}, platform.Settings{Name: name, Region: "r", StoreAddress: server.Listener.Addr().String()},
			zap.NewNop(), func() int64 { return 0 })
		go p.mirror.Run(ctx)
		gateways = append(gateways, p)
	}
	start("g0")
	config := func(version int) {
		store.Put(platform.ConfigKey, json.RawMessage(fmt.Sprintf(`{"version":%d}`, version)))
	}
	inForce := func(version int64) bool {
		return eventually(func() bool {
			for _, p := range gateways {
				if c := p.gateway.Config.Current(); c == nil || c.Version != version {
					return false
				}
			}
			return true
		})
	}
	config(1)
	is.True(inForce(1))
	for i := range blobs {
		store.Put(fmt.Sprint("servers/blob-", i), strings.Repeat("x", valueBytes))
	}
	config(2)
	is.True(inForce(2))
	start("late")
	is.True(inForce(2)) // by a list
	for _, p := range gateways {
		is.True(eventually(func() bool { _, ok := p.mirror.Get("servers/blob-0"); return ok }))
		pair, _ := p.mirror.Get("servers/blob-0")
		is.Equal(len(pair.Value), 0) // isn't kept
	}
}
