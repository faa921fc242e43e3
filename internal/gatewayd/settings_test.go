package gatewayd

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a misspelt pace that starts a gateway without any.
func TestEndpointPaceIsChecked(t *testing.T) {
	is := is.New(t)
	for pace, bad := range map[string]bool{"adaptve": true, "": true, paceAdaptive: false, paceOff: false} {
		err := Settings{EndpointPace: pace}.Check()
		is.Equal(strings.Contains(err.Error(), "--endpoint-pace"), bad)
	}
}
