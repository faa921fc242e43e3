package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const validDocument = `{"service":"llm","kind":"engine","model":"m","accounts":[{"name":"a"}]}`

// Guards against Parse reporting only one problem at a time, and against error
// messages without path, value or range.
func TestParseReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	hash := strings.Repeat("a", 64)
	_, err := Parse([]byte(`{"service":"Bad Name","kind":"engine","modle":"x","format_version":2,
		"limits":{"max_body_bytes":0},"timeouts":{"request_ms":"5s","request_ms":7},"engine":{"min_concurrency":9,"max_concurrency":3},
		"accounts":[{"name":"a","key_sha256":["` + hash + `","XY"]},{"name":"a","weight":0,"key_sha256":["` + hash + `"]}]}`))
	is.True(err != nil)
	for _, want := range []string{
		`service: got "Bad Name", allowed: 1 to 63`,
		`modle: got "x", allowed: no field of this name`,
		`format_version: got 2, allowed: 1 to 1`,
		`limits.max_body_bytes: got 0, allowed: 1 to 67108864`,
		`timeouts.request_ms: got the field twice, allowed: once`,
		`engine.min_concurrency: got 9, allowed: at most engine.max_concurrency`,
		`accounts[0].key_sha256[1]: got "XY", allowed: 64 lower-case hex digits`,
		`accounts[1].name: got "a", allowed: a value other than that of accounts[0].name`,
		`accounts[1].weight: got 0, allowed: 1 to 1000`,
		`accounts[1].key_sha256[0]: got "` + hash + `", allowed: a value other than`,
		`model: got "", allowed: a name`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q in:\n%v", want, err)
		}
	}
	_, err = Parse([]byte(`{"timeouts":{"request_ms":"5s","max_wait_ms":1.5},"accounts":{}}`))
	for _, want := range []string{`timeouts.request_ms: got "5s", allowed: a whole number`, `timeouts.max_wait_ms: got 1.5`, `accounts: got {}, allowed: a list`} {
		is.True(strings.Contains(err.Error(), want))
	}
	var ce *Error
	is.True(errors.As(err, &ce))
}

// Guards against a panic or an accepted document on truncated or random input.
func TestParseDamagedInput(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cut := rapid.IntRange(0, len(validDocument)-1).Draw(rt, "cut")
		if _, err := Parse([]byte(validDocument[:cut])); err == nil {
			rt.Fatalf("accepted %q", validDocument[:cut])
		}
		_, _ = Parse(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes"))
	})
}

// Guards against defaults outside their ranges, and against list members that lose
// the defaults in their tags.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(validDocument))
	is.NoErr(err)
	is.Equal(d.Accounts[0].Weight, 1)
	is.Equal(d.Engine.TokenGapTargetMs, 64)
	want := Default()
	is.True(reflect.DeepEqual(d.Timeouts, want.Timeouts))
}

// Guards against a diff that reports reordered accounts as changes or omits a
// changed field.
func TestDiff(t *testing.T) {
	is := is.New(t)
	a, err := Parse([]byte(`{"service":"llm","model":"m","accounts":[{"name":"a"},{"name":"b"}]}`))
	is.NoErr(err)
	b, err := Parse([]byte(`{"service":"llm","model":"n","accounts":[{"name":"b","weight":3},{"name":"a"}],"budgets":{"retry_percent":0}}`))
	is.NoErr(err)
	is.Equal(fmt.Sprint(Diff(a, b)), "[accounts[b].weight: 1 -> 3 budgets.retry_percent: 10 -> 0 model: m -> n]")
	is.Equal(len(Diff(a, a)), 0)
	is.True(len(Diff(nil, a)) > 20)
}

// Guards against a reference page that differs from the struct, and against a field
// without range or description.
func TestReference(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/SERVICE-DOCUMENT.md")
	is.NoErr(err)
	rows := 0
	for _, f := range Reference() {
		if f.Doc == "" || f.Type == "integer" && f.Allowed == "" {
			t.Errorf("%s has no description or range", f.Path)
		}
		if !strings.Contains(string(page), f.Row()+"\n") {
			t.Errorf("the reference page lacks the row\n%s", f.Row())
		}
		rows++
	}
	is.Equal(strings.Count(string(page), "\n| `"), rows) // no rows of removed fields
}
