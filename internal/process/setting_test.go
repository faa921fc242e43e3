package process

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a setting out of range that is accepted, and against an error
// that does not name the flag, the value and the allowed values.
func TestSettingErrors(t *testing.T) {
	is := is.New(t)
	is.NoErr(CheckRange("--n", 1, 1, 3))
	is.NoErr(CheckRange("--n", 3, 1, 3))
	is.Equal(CheckRange("--host-interval", time.Millisecond, 100*time.Millisecond, 10*time.Minute).Error(),
		`--host-interval (or CITRONTILLER_HOST_INTERVAL): got "1ms", allowed: 100ms to 10m`)
	is.Equal(CheckRequired("--region", "", "a name").Error(), `--region (or CITRONTILLER_REGION): got nothing, allowed: a name`)
	for _, ok := range []string{"10.0.0.1:80", "http://a:1", "https://a/b"} {
		is.NoErr(CheckURL("--kv", ok))
	}
	for _, bad := range []string{"ftp://a", "http://", "", "http://a?b=c", "http://a b"} {
		is.True(CheckURL("--kv", bad) != nil)
	}
	for _, ok := range []string{"127.0.0.1:80", "[::1]:80", ":80"} {
		is.NoErr(CheckListen("--listen", ok))
	}
	for _, bad := range []string{"", "80", "name:80", "127.0.0.1", "127.0.0.1:99999", ":99999"} {
		is.True(CheckListen("--listen", bad) != nil)
	}
}
