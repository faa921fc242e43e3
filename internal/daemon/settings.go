// Package daemon assembles the agent's process: its settings, listeners,
// background loops and the shutdown.
package daemon

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/agent"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/process"
)

// Settings are the flags of an agent. Each is also an environment variable. The
// value of a duration includes its unit.
type Settings struct {
	Listen         string   `arg:"--listen,env:CITRONTILLER_LISTEN,required" help:"ip:port for entries"`
	OperatorListen string   `arg:"--operator-listen,env:CITRONTILLER_OPERATOR_LISTEN" help:"ip:port for /metrics, /healthz and /readyz; empty for none"`
	Endpoints      []string `arg:"--endpoint,separate,env:CITRONTILLER_ENDPOINT,required" help:"id,service,kind,ip:port of an endpoint; kind is engine or plain; repeatable"`
	Region         string   `arg:"--region,env:CITRONTILLER_REGION" help:"region of this host"`
	FailureDomain  string   `arg:"--failure-domain,env:CITRONTILLER_FAILURE_DOMAIN" help:"failure domain of this host"`

	TicketLifetime   time.Duration `arg:"--ticket-lifetime,env:CITRONTILLER_TICKET_LIFETIME" default:"60s" help:"oldest ticket of an Open; 1s to 10m"`
	ResultRetention  time.Duration `arg:"--result-retention,env:CITRONTILLER_RESULT_RETENTION" default:"10m" help:"time ended attempts are kept; twice the ticket lifetime to 24h"`
	DetachGrace      time.Duration `arg:"--detach-grace,env:CITRONTILLER_DETACH_GRACE" default:"5s" help:"time an idempotent request runs without its entry; 0s to 10m"`
	ProgressInterval time.Duration `arg:"--progress-interval,env:CITRONTILLER_PROGRESS_INTERVAL" default:"1s" help:"time between Progress messages; 100ms to 1s"`
	StopTimeout      time.Duration `arg:"--stop-timeout,env:CITRONTILLER_STOP_TIMEOUT" default:"5s" help:"time after the drain until connections are closed; 0s to 10m"`
	StreamBuffer     int           `arg:"--stream-buffer-bytes,env:CITRONTILLER_STREAM_BUFFER_BYTES" default:"65536" help:"replay buffer of a stream in bytes; 4096 to 65536"`
	ReplayBytes      int           `arg:"--replay-bytes,env:CITRONTILLER_REPLAY_BYTES" default:"8388608" help:"replay buffers of all streams in bytes; 65536 to 8388608"`
	ResultBytes      int           `arg:"--result-bytes,env:CITRONTILLER_RESULT_BYTES" default:"4194304" help:"kept results of non-idempotent requests in bytes; 131072 to 67108864"`
	Concurrency      int           `arg:"--concurrency,env:CITRONTILLER_CONCURRENCY" default:"16" help:"requests an endpoint runs at once, at first; 1 to 4096"`

	process.TLS
	LogLevel string `arg:"--log-level,env:CITRONTILLER_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

// Version returns the text that go-arg prints for --version.
func (Settings) Version() string { return process.Version("citrontiller-agent") }

// Options checks the settings and returns the agent's options and endpoints.
// Errors are *process.SettingError.
func (s Settings) Options(log *zap.Logger) (agent.Options, []agent.Endpoint, error) {
	opts := agent.Options{TicketLifetime: s.TicketLifetime, ResultRetention: s.ResultRetention, DetachGrace: s.DetachGrace,
		StreamBuffer: s.StreamBuffer, ReplayBytes: s.ReplayBytes, ResultBytes: s.ResultBytes,
		ProgressInterval: s.ProgressInterval, Concurrency: s.Concurrency, Log: log}
	if err := s.check(); err != nil {
		return opts, nil, err
	}
	endpoints, err := parseEndpoints(s.Endpoints)
	return opts, endpoints, err
}

func (s Settings) check() error {
	for _, err := range []error{
		process.CheckListen("--listen", s.Listen),
		process.CheckRange("--ticket-lifetime", s.TicketLifetime, time.Second, 10*time.Minute),
		process.CheckRange("--result-retention", s.ResultRetention, 2*s.TicketLifetime, 24*time.Hour),
		process.CheckRange("--detach-grace", s.DetachGrace, 0, 10*time.Minute),
		process.CheckRange("--progress-interval", s.ProgressInterval, 100*time.Millisecond, time.Second),
		process.CheckRange("--stop-timeout", s.StopTimeout, 0, 10*time.Minute),
		process.CheckRange("--stream-buffer-bytes", s.StreamBuffer, 4<<10, 64<<10),
		process.CheckRange("--replay-bytes", s.ReplayBytes, 64<<10, 8<<20),
		process.CheckRange("--result-bytes", s.ResultBytes, 128<<10, 64<<20),
		process.CheckRange("--concurrency", s.Concurrency, 1, 4096),
	} {
		if err != nil {
			return err
		}
	}
	if s.OperatorListen != "" {
		return process.CheckListen("--operator-listen", s.OperatorListen)
	}
	return nil
}

func parseEndpoints(in []string) ([]agent.Endpoint, error) {
	var out []agent.Endpoint
	seen := map[string]bool{}
	for _, v := range in {
		invalid := &process.SettingError{Flag: "--endpoint", Value: v,
			Allowed: "id,service,kind,ip:port with kind engine or plain, and each id once"}
		fields := strings.Split(v, ",")
		if len(fields) != 4 || fields[0] == "" || fields[1] == "" || seen[fields[0]] {
			return nil, invalid
		}
		kind := infra.Kind(fields[2])
		if (kind != infra.Engine && kind != infra.Plain) || process.CheckListen("--endpoint", fields[3]) != nil {
			return nil, invalid
		}
		seen[fields[0]] = true
		out = append(out, agent.Endpoint{ID: fields[0], Service: fields[1], Kind: kind, Address: fields[3]})
	}
	return out, nil
}
