// Package entryd assembles the entry's process: its settings, the servers for
// callers and operators, and the shutdown.
package entryd

import (
	"errors"
	"time"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/internal/process"
)

// Settings are the flags of an entry. Each is also an environment variable. The
// value of a duration includes its unit.
type Settings struct {
	Listen         string `arg:"--listen,env:CITRONTILLER_LISTEN" help:"ip:port for callers (required)"`
	OperatorListen string `arg:"--operator-listen,env:CITRONTILLER_OPERATOR_LISTEN" help:"ip:port for operators: /metrics, /healthz, /readyz, /status, /decisions/REQUEST-ID; it has no access control [default: off]"`
	KV             string `arg:"--kv,env:CITRONTILLER_KV" help:"URL of the key-value service (required)"`
	Hosts          string `arg:"--hosts,env:CITRONTILLER_HOSTS" help:"URL of the host list (required)"`
	Weights        string `arg:"--weights,env:CITRONTILLER_WEIGHTS" help:"URL of the weight store, asked before engines are told to load weights [default: not asked]"`
	ID             string `arg:"--id,env:CITRONTILLER_ID" help:"name of this entry in logs and at agents [default: random]"`
	Region         string `arg:"--region,env:CITRONTILLER_REGION" help:"region of this host (required)"`
	FailureDomain  string `arg:"--failure-domain,env:CITRONTILLER_FAILURE_DOMAIN" help:"failure domain of this host (required)"`

	DrainDelay     time.Duration `arg:"--drain-delay,env:CITRONTILLER_DRAIN_DELAY" default:"3s" help:"time between failing readiness and closing the listener"`
	KVTimeout      time.Duration `arg:"--kv-timeout,env:CITRONTILLER_KV_TIMEOUT" default:"2s" help:"bound on one call to the key-value service"`
	HostsTimeout   time.Duration `arg:"--hosts-timeout,env:CITRONTILLER_HOSTS_TIMEOUT" default:"1s" help:"bound on one read of the host list"`
	WeightsTimeout time.Duration `arg:"--weights-timeout,env:CITRONTILLER_WEIGHTS_TIMEOUT" default:"2s" help:"bound on one call to the weight store"`
	LeaseTTL       time.Duration `arg:"--lease-ttl,env:CITRONTILLER_LEASE_TTL" default:"8s" help:"length of the lease of the entry that sends orders; another takes over within one and a half times this"`
	HostInterval   time.Duration `arg:"--host-interval,env:CITRONTILLER_HOST_INTERVAL" default:"1s" help:"time between reads of the host list"`
	ConfigInterval time.Duration `arg:"--config-interval,env:CITRONTILLER_CONFIG_INTERVAL" default:"5s" help:"time between polls of the documents, beside the watch"`
	RevokeTimeout  time.Duration `arg:"--revoke-timeout,env:CITRONTILLER_REVOKE_TIMEOUT" default:"5s" help:"bound on the try to prove that a lost attempt did not run"`
	ResultTimeout  time.Duration `arg:"--result-timeout,env:CITRONTILLER_RESULT_TIMEOUT" default:"5m" help:"bound on reading a keyed response whose caller has left"`
	ClaimLeaseSpan time.Duration `arg:"--claim-lease-span,env:CITRONTILLER_CLAIM_LEASE_SPAN" default:"10m" help:"time for which one lease serves new idempotency claims"`
	MinAckTimeout  time.Duration `arg:"--min-ack-timeout,env:CITRONTILLER_MIN_ACK_TIMEOUT" default:"20ms" help:"least wait for an agent's acknowledgement before a new connection is dialled"`
	AgentGiveUp    time.Duration `arg:"--agent-give-up,env:CITRONTILLER_AGENT_GIVE_UP" default:"8s" help:"time for which a request tries to reach a silent agent"`
	TicketLifetime time.Duration `arg:"--ticket-lifetime,env:CITRONTILLER_TICKET_LIFETIME" default:"1m" help:"the agents' limit on the age of a ticket"`

	DecisionRecords   int    `arg:"--decision-records,env:CITRONTILLER_DECISION_RECORDS" default:"4096" help:"decisions kept for explain, about 2 KB each"`
	DecisionLogSample int    `arg:"--decision-log-sample,env:CITRONTILLER_DECISION_LOG_SAMPLE" default:"1" help:"log one of this many decisions that found an endpoint; 0 logs none of them"`
	LogLevel          string `arg:"--log-level,env:CITRONTILLER_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`

	// TLS secures the links to the agents. An agent's certificate must be valid for
	// the agent's address in the host list.
	process.TLS
}

const (
	// maxIDBytes bounds the value of --id, which is sent to every agent.
	maxIDBytes = 128
	// maxDecisionRecords keeps the decision records of an entry below 200 MB.
	maxDecisionRecords = 100_000
)

// Check returns every setting that is missing or out of range, joined. Each is
// a *process.SettingError.
func (s Settings) Check() error {
	errs := []error{
		process.CheckListen("--listen", s.Listen),
		process.CheckURL("--kv", s.KV),
		process.CheckURL("--hosts", s.Hosts),
		process.CheckRequired("--region", s.Region, "the region of this host"),
		process.CheckRequired("--failure-domain", s.FailureDomain, "the failure domain of this host"),
		process.CheckRange("--decision-records", s.DecisionRecords, 1, maxDecisionRecords),
		process.CheckRange("--decision-log-sample", s.DecisionLogSample, 0, 1_000_000),
	}
	if s.OperatorListen != "" {
		errs = append(errs, process.CheckListen("--operator-listen", s.OperatorListen))
	}
	if s.Weights != "" {
		errs = append(errs, process.CheckURL("--weights", s.Weights))
	}
	if len(s.ID) > maxIDBytes {
		errs = append(errs, &process.SettingError{Flag: "--id", Value: s.ID, Allowed: "at most 128 bytes"})
	}
	for _, c := range s.durationChecks() {
		errs = append(errs, process.CheckRange(c.flag, c.value, c.low, c.high))
	}
	return errors.Join(errs...)
}

// durationCheck is a duration setting with its allowed range, bounds included.
type durationCheck struct {
	flag             string
	value, low, high time.Duration
}

func (s Settings) durationChecks() []durationCheck {
	const ms, sec, min, hour = time.Millisecond, time.Second, time.Minute, time.Hour
	return []durationCheck{
		{"--drain-delay", s.DrainDelay, 0, 10 * min},
		{"--kv-timeout", s.KVTimeout, 10 * ms, min},
		{"--hosts-timeout", s.HostsTimeout, 10 * ms, min},
		{"--weights-timeout", s.WeightsTimeout, 10 * ms, min},
		{"--lease-ttl", s.LeaseTTL, 2 * sec, 5 * min},
		// An endpoint that is leaving must not receive new work for more than 3 s.
		{"--host-interval", s.HostInterval, 100 * ms, 2 * sec},
		// An edit must be in force within 19 s even if the watch reports nothing. That
		// time covers a poll, its jitter of a quarter, one failed poll and the exchange
		// with the agents.
		{"--config-interval", s.ConfigInterval, 100 * ms, 10 * sec},
		{"--revoke-timeout", s.RevokeTimeout, 100 * ms, min},
		{"--result-timeout", s.ResultTimeout, sec, 24 * hour},
		{"--claim-lease-span", s.ClaimLeaseSpan, sec, 24 * hour},
		{"--min-ack-timeout", s.MinAckTimeout, ms, 10 * sec},
		{"--agent-give-up", s.AgentGiveUp, 100 * ms, 10 * min},
		{"--ticket-lifetime", s.TicketLifetime, sec, 10 * min},
	}
}

// options returns the entry's options without the logger, the registry, the
// drivers, the weight store and the credentials.
func (s Settings) options() entry.Options {
	o := entry.DefaultOptions()
	o.ID, o.Region, o.FailureDomain = s.ID, s.Region, s.FailureDomain
	o.HostInterval, o.ConfigInterval = s.HostInterval, s.ConfigInterval
	o.LeaseTTL = s.LeaseTTL
	o.RevokeTimeout, o.ResultTimeout = s.RevokeTimeout, s.ResultTimeout
	o.DecisionRecords, o.DecisionLogSample = s.DecisionRecords, s.DecisionLogSample
	o.Claims.LeaseSpan = s.ClaimLeaseSpan
	o.Wire.MinAckTimeout, o.Wire.ReconnectTimeout, o.Wire.TicketLifetime = s.MinAckTimeout, s.AgentGiveUp, s.TicketLifetime
	return o
}
