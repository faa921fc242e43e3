package gatewayd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// oddEntries are values that another writer may have left among the entries of endpoints.
func oddEntries() map[string]string {
	entry := func(name, value string) string {
		fields := map[string]string{"service": `"s"`, "address": `"127.0.0.1:9"`, "zone": `"z"`, "slots": "8", "state": `"ready"`, "born": "1", "models": "[]"}
		fields[name] = value
		var out []string
		for name, value := range fields {
			if value != "" {
				out = append(out, fmt.Sprintf("%q:%s", name, value))
			}
		}
		return "{" + strings.Join(out, ",") + "}"
	}
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
		f.put(key, `{"service":"s","address":"127.0.0.1:9","zone":"z","slots":8,"state":"ready","born":1}`)
		is.Equal(len(f.process.gateway.Members.Hosts()), 1)
	}
}
