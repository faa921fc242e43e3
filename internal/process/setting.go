package process

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// SettingError reports that the value of a flag, or of its environment variable,
// is not allowed.
type SettingError struct {
	// Flag is the name on the command line, e.g. "--listen"; several are joined by " and ".
	Flag    string
	Value   string
	Allowed string
	// Err is the cause; nil if Allowed is explanation enough.
	Err error
}

func (e *SettingError) Error() string {
	value := "nothing"
	if e.Value != "" {
		value = fmt.Sprintf("%q", e.Value)
	}
	s := fmt.Sprintf("%s (or %s): got %s, allowed: %s", e.Flag, Variable(e.Flag), value, e.Allowed)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// variables holds the environment variables that aren't named after their flags.
var variables = map[string]string{
	"--entry":    "CITRONTILLER_ENTRIES",
	"--settings": "CITRONTILLER_BOOT", // set by the platform
}

// Variable returns the name of a flag's environment variable, as the help has it. Several
// flags and their variables are joined by " and ".
func Variable(flag string) string {
	if first, others, several := strings.Cut(flag, " and "); several {
		return Variable(first) + " and " + Variable(others)
	}
	if name, ok := variables[flag]; ok {
		return name
	}
	return "CITRONTILLER_" + strings.ToUpper(strings.ReplaceAll(strings.TrimPrefix(flag, "--"), "-", "_"))
}

// CheckRange checks that a value is between low and high, both included. The error
// is a *SettingError; it prints durations with their unit.
func CheckRange[T cmp.Ordered](flag string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &SettingError{Flag: flag, Value: formatValue(value), Allowed: formatValue(low) + " to " + formatValue(high)}
}

// formatValue formats a value; a duration without trailing zero units, such as
// "10m" for "10m0s".
func formatValue(v any) string {
	s := fmt.Sprint(v)
	if d, ok := v.(time.Duration); ok && d >= time.Minute && d%time.Minute == 0 {
		s = strings.TrimSuffix(s, "0s")
		if d%time.Hour == 0 {
			s = strings.TrimSuffix(s, "0m")
		}
	}
	return s
}

// CheckRequired checks that a setting is not empty. allowed describes the value
// for the error, which is a *SettingError.
func CheckRequired(flag, value, allowed string) error {
	if value == "" {
		return &SettingError{Flag: flag, Value: "", Allowed: allowed}
	}
	return nil
}

// CheckURL checks the address of an HTTP service: a URL without a query, or
// "ip:port" for HTTP without TLS. The error is a *SettingError.
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

// CheckListen checks that an address to listen on is ip:port or :port. The error is
// a *SettingError.
func CheckListen(flag, value string) error {
	address := value
	if strings.HasPrefix(value, ":") {
		address = "0.0.0.0" + value // all addresses of the host
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &SettingError{Flag: flag, Value: value, Allowed: "ip:port or :port"}
	}
	return nil
}
