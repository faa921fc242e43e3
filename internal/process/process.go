// Package process provides what the processes share: the logger, the version,
// signal handling, TLS and the checks of settings.
package process

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logger returns a logger that writes one line of key=value pairs per event to
// standard error. level is debug, info, warn or error; the error is a *SettingError.
func Logger(level string) (*zap.Logger, error) {
	return LoggerTo(zapcore.Lock(os.Stderr), level)
}

// LoggerTo is like Logger but writes to out, which must be safe for concurrent use.
func LoggerTo(out zapcore.WriteSyncer, level string) (*zap.Logger, error) {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, &SettingError{Flag: "--log-level", Value: level, Allowed: "debug, info, warn, error"}
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), out, lv)
	return zap.New(core), nil
}

// Version returns the program's name and the module version of the binary,
// "(devel)" if there is none.
func Version(program string) string {
	v := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		v = info.Main.Version
	}
	return program + " " + v
}

// SignalContext returns a context that ends at the first SIGTERM or SIGINT. Later
// signals are ignored, so that they do not abort running requests.
func SignalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ch
		cancel()
	}()
	return ctx, cancel
}
