// Command quickstart runs a complete system in one process on loopback ports:
// stand-ins for the platform and the endpoints, three agents and two entries. It
// sends requests through the system and prints where each ran and why.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/standin/engine"
	"github.com/citrontiller/citrontiller/standin/fleet"
)

type settings struct {
	Serve bool `arg:"--serve" help:"keep the system up and print a curl command"`
}

const (
	key = "demo-key"
	// agents and enginesPerAgent are the size of the system.
	agents          = 3
	enginesPerAgent = 2
	// readyTimeout bounds the time until the entries are ready.
	readyTimeout = 10 * time.Second
)

func main() {
	var s settings
	arg.MustParse(&s)
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	d, err := start()
	if err != nil {
		return err
	}
	defer d.Close()
	if s.Serve {
		return serve(d)
	}
	for _, step := range []func() error{d.conversations, d.booking, d.rollout, d.summary} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// demo is the running system.
type demo struct {
	*fleet.Fleet
	// operatorAddrs are the addresses of the entries' operator APIs.
	operatorAddrs []string
	started       time.Time
}

// start starts the system and waits until it is ready.
func start() (*demo, error) {
	f, err := fleet.New(fleet.LoopbackNetwork{}, nil)
	if err != nil {
		return nil, err
	}
	d := &demo{Fleet: f, started: time.Now()}
	if err := d.populate(); err != nil {
		f.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	fmt.Printf("%d agents with %d engines and a booking desk each, %d entries, ready after %s\n\n",
		agents, enginesPerAgent, len(f.Entries), time.Since(d.started).Round(time.Millisecond))
	return d, nil
}

// populate starts the agents, their endpoints and the entries, and applies the
// service documents.
func (d *demo) populate() error {
	for i := range agents {
		spec := fleet.AgentSpec{Name: fmt.Sprintf("agent-%d", i), Region: "region-a", FailureDomain: fmt.Sprintf("domain-%d", i), Service: service,
			Plains: []string{fmt.Sprintf("desk-%d", i)}}
		for j := range enginesPerAgent {
			spec.Engines = append(spec.Engines, engine.Options{ID: fmt.Sprintf("guide-%d", i*enginesPerAgent+j), Model: "guide", Version: "v1",
				TokenGap: 5 * time.Millisecond, PrefillPerToken: 100 * time.Microsecond, LoadTime: 300 * time.Millisecond})
		}
		if _, err := d.AddAgent(spec); err != nil {
			return err
		}
	}
	for i := range 2 {
		opts := entry.DefaultOptions()
		opts.Region, opts.FailureDomain = "region-a", "domain-0"
		e, err := d.AddEntry(fmt.Sprintf("entry-%d", i), opts)
		if err != nil {
			return err
		}
		addr, err := d.Serve(fmt.Sprintf("operator-%d", i), e.OperatorHandler())
		if err != nil {
			return err
		}
		d.operatorAddrs = append(d.operatorAddrs, addr)
	}
	if err := d.apply(guideDocument("v1"), 0); err != nil {
		return err
	}
	return d.apply(deskDocument(), 0)
}

// service returns the service of an endpoint, which is its id without the number.
func service(id string) string { return strings.TrimRight(id, "-0123456789") }

func account() string {
	return fmt.Sprintf(`"accounts":[{"name":"demo","key_sha256":[%q]}]`, fleet.KeyHash(key))
}

func guideDocument(version string) string {
	return fmt.Sprintf(`{"service":"guide","kind":"engine","model":"guide","version":%q,%s}`, version, account())
}

func deskDocument() string {
	return fmt.Sprintf(`{"service":"desk","kind":"plain","routes":[{"path":"/book"}],%s}`, account())
}

// apply applies a service document edited from generation base, 0 for a new service.
func (d *demo) apply(document string, base int64) error {
	store, err := d.Store()
	if err != nil {
		return err
	}
	r, err := store.Apply(context.Background(), []byte(document), base, "quickstart")
	if err != nil {
		return err
	}
	fmt.Printf("applied generation %d of a service document\n", r.Generation)
	return nil
}

// serve prints a curl command and keeps the system running until a signal arrives.
func serve(d *demo) error {
	fmt.Printf("Try:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n"+
		"    -d '{\"model\":\"guide\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n"+
		"Decisions: http://%s/decisions/REQUEST-ID, state: http://%s/status. Stop with Ctrl-C.\n",
		d.Entries[0].Address, key, d.operatorAddrs[0], d.operatorAddrs[0])
	ctx, stop := process.SignalContext()
	defer stop()
	<-ctx.Done()
	return nil
}
