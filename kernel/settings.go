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

// Settings is the configuration that a process passes to a plug-in it loads.
type Settings struct {
	// Address is the URL or "ip:port" of the system that the plug-in connects to.
	Address string
	// Timeout is the time limit of one call; zero means the plug-in's default.
	Timeout time.Duration
	// Dial opens connections; nil means the operating system's network.
	Dial Dialer
	// Log is the plug-in's logger; nil discards its messages.
	Log *zap.Logger
}

// URL returns Address as a URL, with the scheme http if Address has none. If Address
// is empty, it returns an error that names the system.
func (s Settings) URL(system string) (string, error) {
	if s.Address == "" {
		return "", fmt.Errorf("the address of the %s is missing", system)
	}
	if strings.Contains(s.Address, "://") {
		return s.Address, nil
	}
	return "http://" + s.Address, nil
}

// Logger returns Log, or a logger that discards all messages if Log is nil.
func (s Settings) Logger() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}

// DialContext returns Dial, or the operating system's dialer if Dial is nil.
func (s Settings) DialContext() Dialer {
	if s.Dial != nil {
		return s.Dial
	}
	d := &net.Dialer{Timeout: s.Timeout}
	return d.DialContext
}
