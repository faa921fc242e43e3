package gatewayd

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/internal/process"
)

// Guards against a misspelt pace that starts a gateway without any.
func TestEndpointPaceIsChecked(t *testing.T) {
	is := is.New(t)
	named := func(s Settings) bool {
		joined, _ := s.Check().(interface{ Unwrap() []error })
		for _, err := range joined.Unwrap() {
			if e := (*process.SettingError)(nil); errors.As(err, &e) && e.Flag == "--endpoint-pace" {
				return true
			}
		}
		return false
	}
	is.True(named(Settings{EndpointPace: "adaptve"}))
	is.True(named(Settings{}))
	is.True(!named(Settings{EndpointPace: paceAdaptive}))
	is.True(!named(Settings{EndpointPace: paceOff}))
}
