package operator_test

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/citrontiller/citrontiller/operator"
)

// Guards against findings or changes of a platform configuration that are missing, say
// something else, print a credential or have another exit status.
func TestCheck(t *testing.T) {
	file := func(name string) string { return filepath.Join("testdata", "check", name+".json") }
	inForce := file("in-force")
	for name, c := range map[string]struct {
		args         []string
		exit, strict int
	}{
		"in-force":   {[]string{inForce}, 0, 0},
		"good":       {[]string{"--in-force", inForce, file("good")}, 0, 0},
		"warnings":   {[]string{"--in-force", inForce, file("warnings")}, 0, 1},
		"errors":     {[]string{file("errors")}, 2, 2},
		"infinite":   {[]string{file("infinite")}, 2, 2},
		"wrong-type": {[]string{"--in-force", inForce, file("wrong-type")}, 2, 2},
		"truncated":  {[]string{file("truncated")}, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := run(t, "", append([]string{"check"}, c.args...)...)
			is.Equal(text.exit, c.exit)
			is.Equal(run(t, "", append([]string{"check", "--strict"}, c.args...)...).exit, c.strict)
			asJSON := run(t, "", append([]string{"check", "--json"}, c.args...)...)
			is.Equal(asJSON.exit, c.exit)
			is.True(json.Valid([]byte(asJSON.out)))
			g := goldie.New(t, goldie.WithFixtureDir(filepath.Join("testdata", "check")))
			g.Assert(t, name+".text", []byte(text.out))
			g.Assert(t, name+".json", []byte(asJSON.out))
		})
	}
}

// Guards against a file that can't be read and passes, and against a configuration from
// standard input that isn't checked.
func TestCheckInput(t *testing.T) {
	is := is.New(t)
	is.Equal(run(t, `{"version":1}`, "check", "-").exit, operator.ExitDone)
	is.Equal(run(t, `{"version":-1}`, "check", "-").exit, operator.ExitErrors)
	is.Equal(run(t, "", "check", "/does/not/exist").exit, operator.ExitUsage)
	is.Equal(run(t, `{"version":1}`, "check", "--in-force", "/does/not/exist", "-").exit, operator.ExitUsage)
	is.Equal(run(t, `{"version":1}`, "check", "--in-force", filepath.Join("testdata", "check", "truncated.json"), "-").exit, operator.ExitUsage)
}
