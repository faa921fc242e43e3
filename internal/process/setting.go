package process

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// SettingError reports a flag, or the environment variable of the same
// setting, whose value is not allowed.
type SettingError struct {
	// Flag is the name on the command line, e.g. "--listen".
	Flag    string
	Value   string
	Allowed string
	// Err is why the value can't be used; nil when Allowed says enough.
	Err error
}

func (e *SettingError) Error() string {
	value := "nothing"
	if e.Value != "" {
		value = fmt.Sprintf("%q", e.Value)
	}
	s := fmt.Sprintf("%s (or %s): got %s, allowed: %s", e.Flag, environment(e.Flag), value, e.Allowed)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// environment returns the name of a flag's environment variable.
func environment(flag string) string {
	return "CITRONTILLER_" + strings.ToUpper(strings.ReplaceAll(strings.TrimPrefix(flag, "--"), "-", "_"))
}

// CheckRange checks a number against its bounds, both included. A duration is
// given and shown with its unit. The error is a *SettingError.
func CheckRange[T cmp.Ordered](flag string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &SettingError{Flag: flag, Value: show(value), Allowed: show(low) + " to " + show(high)}
}

// show writes a duration without zero parts, such as "10m" for "10m0s".
func show(v any) string {
	s := fmt.Sprint(v)
	if d, ok := v.(time.Duration); ok && d >= time.Minute && d%time.Minute == 0 {
		s = strings.TrimSuffix(s, "0s")
		if d%time.Hour == 0 {
			s = strings.TrimSuffix(s, "0m")
		}
	}
	return s
}

// CheckGiven checks that a setting is not empty. The error is a *SettingError.
func CheckRequired(flag, value, allowed string) error {
	if value == "" {
		return &SettingError{Flag: flag, Value: "", Allowed: allowed}
	}
	return nil
}

// CheckURL checks the address of an HTTP service, for which "ip:port" stands
// for plain HTTP. The error is a *SettingError.
func CheckURL(flag, value string) error {
	text := value
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" || u.RawQuery != "" {
		return &SettingError{Flag: flag, Value: value, Allowed: "an http or https URL, or ip:port"}
	}
	return nil
}

// CheckListen checks an address to listen on. The error is a *SettingError.
func CheckListen(flag, value string) error {
	address := value
	if strings.HasPrefix(value, ":") {
		address = "0.0.0.0" + value // every address of the host
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &SettingError{Flag: flag, Value: value, Allowed: "ip:port or :port"}
	}
	return nil
}
