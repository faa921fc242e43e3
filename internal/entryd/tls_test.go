package entryd_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/entryd"
	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/standin/fleet"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// selfSignedTLS returns a self-signed certificate for both sides, which is also
// their authority.
func selfSignedTLS(t *testing.T) process.TLS {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	cert, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	is.NoErr(err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	text := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}))
	return process.TLS{Cert: text, CA: text, Key: string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))}
}

// agentServer signals on watched when an entry opens a Watch stream.
type agentServer struct {
	pb.UnimplementedAgentServer
	watched chan struct{}
}

func (w agentServer) Watch(*pb.WatchRequest, grpc.ServerStreamingServer[pb.AgentState]) error {
	select {
	case w.watched <- struct{}{}:
	default:
	}
	return nil
}

// Guards against links to agents that ignore the TLS settings, and against
// incomplete TLS settings that fall back to connections without TLS.
func TestLinksUseTLS(t *testing.T) {
	is := is.New(t)
	f, err := fleet.New(fleet.LoopbackNetwork{}, nil)
	is.NoErr(err)
	defer f.Close()
	pair := selfSignedTLS(t)
	creds, err := pair.Server()
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	w := agentServer{watched: make(chan struct{}, 1)}
	g := grpc.NewServer(grpc.Creds(creds))
	pb.RegisterAgentServer(g, w)
	go func() { _ = g.Serve(l) }()
	defer g.Stop()
	f.Hosts.Set([]infra.Host{{ID: "e", Service: "llm", Kind: infra.Engine, Address: "127.0.0.1:1", Agent: l.Addr().String(), State: infra.Live}})

	s := parse(t, "--listen", "127.0.0.1:0", "--kv", f.KVAddress, "--hosts", f.HostsAddress, "--region", "r", "--failure-domain", "d",
		"--drain-delay", "0s", "--log-level", "error")
	opensWatch := func(s entryd.Settings) bool {
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- entryd.Run(ctx, s) }()
		defer func() { stop(); is.NoErr(<-done) }()
		select {
		case <-w.watched:
			return true
		case <-time.After(2 * time.Second):
			return false
		}
	}
	is.True(!opensWatch(s)) // without TLS
	s.TLS = pair
	is.True(opensWatch(s))
	s.TLS.CA = ""
	is.True(entryd.Run(t.Context(), s) != nil)
}
