package entry

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// The design size is 400 agents with 5 engines each.
const (
	designAgents  = 400
	designEngines = 5
)

// reporter serves Watch with the load reports of the agent that was dialled.
type reporter struct{ pb.UnimplementedAgentServer }

func (reporter) Watch(_ *pb.WatchRequest, srv pb.Agent_WatchServer) error {
	md, _ := metadata.FromIncomingContext(srv.Context())
	var a int
	if _, err := fmt.Sscanf(md[":authority"][0], "agent-%d:", &a); err != nil {
		return err
	}
	st := &pb.AgentState{Incarnation: "i", TicketMs: 1}
	for e := range designEngines {
		st.Endpoints = append(st.Endpoints, &pb.EndpointLoad{EndpointId: engineID(a, e), Limit: 16, PrefillTokensPerSecond: 10_000})
	}
	if err := srv.Send(st); err != nil {
		return err
	}
	<-srv.Context().Done()
	return nil
}

func engineID(agent, engine int) string { return fmt.Sprintf("engine-%d-%d", agent, engine) }

// designEntry returns an entry with links to all agents of the design size.
func designEntry(b *testing.B) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := grpc.NewServer()
	pb.RegisterAgentServer(g, reporter{})
	go func() { _ = g.Serve(l) }()
	opts := DefaultOptions()
	opts.Region = "r1"
	opts.Wire.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
	}
	s := New(opts, nil, nil)
	var hosts []infra.Host
	for a := range designAgents {
		for e := range designEngines {
			hosts = append(hosts, infra.Host{ID: engineID(a, e), Service: "llm", Kind: infra.Engine, Agent: fmt.Sprintf("agent-%d:80", a),
				Region: fmt.Sprintf("r%d", a%3), State: infra.Live})
		}
	}
	s.Members.SetHosts(hosts)
	s.connect()
	b.Cleanup(func() {
		for _, l := range s.links {
			l.Close()
		}
		g.Stop()
	})
	for deadline := time.Now().Add(20 * time.Second); !allUp(s); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("the links are not up")
		}
	}
	return s
}

func allUp(s *Server) bool {
	for _, l := range s.links {
		if st := l.State(); !st.Up || len(st.Loads) < designEngines {
			return false
		}
	}
	return true
}

// BenchmarkChoose measures a complete decision with 400 links and 2,000 endpoints
// of one service: snapshot, scoring, decision record and log line.
func BenchmarkChoose(b *testing.B) {
	s := designEntry(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		segments := [][]byte{make([]byte, 4000), fmt.Append(nil, i%50), fmt.Append(nil, i)}
		r := &route.Request{ID: "r", Service: "llm", Account: "a", Region: "r1", Idempotent: true, Stream: true,
			Levels: prefix.Chain(prefix.Scope{Account: "a", Model: "m"}, segments), Tokens: prefix.Tokens(segments), Seed: uint64(i),
			Exclude: map[string]bool{}}
		d, fb := s.choose(r)
		if d.Chosen == "" {
			b.Fatal(d.Reason)
		}
		s.target(r.Service, d.Chosen)
		fb.close()
	}
}
