package kernel

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"go.uber.org/zap"
)

// Dialer opens a connection. Tests replace it to run without a network.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Settings is what a process hands to the plug-ins it loads.
type Settings struct {
	// Address is the URL or "ip:port" of the system the plug-in talks to.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
	// Dial opens connections; nil means the operating system's network.
	Dial Dialer
	// Log receives the plug-in's events; nil discards them.
	Log *zap.Logger
}

// URL returns Address as a URL, for which "ip:port" stands for plain HTTP. The
// error names the system whose address is missing.
func (s Settings) URL(system string) (string, error) {
	if s.Address == "" {
		return "", fmt.Errorf("the address of the %s is missing", system)
	}
	if strings.Contains(s.Address, "://") {
		return s.Address, nil
	}
	return "http://" + s.Address, nil
}

// Logger returns Log, or a logger that discards everything.
func (s Settings) Logger() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}

// DialContext returns Dial, or the operating system's dialer.
func (s Settings) DialContext() Dialer {
	if s.Dial != nil {
		return s.Dial
	}
	d := &net.Dialer{Timeout: s.Timeout}
	return d.DialContext
}
