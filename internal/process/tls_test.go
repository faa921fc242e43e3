package process

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/emptypb"
)

// newAuthority returns a function that issues certificates of a new authority.
func newAuthority(t *testing.T) func(ip string) TLS {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	root := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	ca, err := x509.CreateCertificate(rand.Reader, root, root, key.Public(), key)
	is.NoErr(err)
	return func(ip string) TLS {
		leaf, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		is.NoErr(err)
		cert, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
			IPAddresses: []net.IP{net.ParseIP(ip)}}, root, leaf.Public(), key)
		is.NoErr(err)
		der, err := x509.MarshalPKCS8PrivateKey(leaf)
		is.NoErr(err)
		text := func(kind string, b []byte) string {
			return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}))
		}
		return TLS{Cert: text("CERTIFICATE", cert), Key: text("PRIVATE KEY", der), CA: text("CERTIFICATE", ca)}
	}
}

// Guards against peers without a valid certificate: a server must accept only
// clients with a certificate of its authority, and a client only servers with a
// certificate of its authority for the dialled address.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	server := ours("127.0.0.1")
	file := filepath.Join(t.TempDir(), "cert.pem")
	is.NoErr(os.WriteFile(file, []byte(server.Cert), 0o600))
	server.Cert = file
	mixed := theirs("127.0.0.1")
	mixed.CA = server.CA // trusts the server, which does not trust it
	for _, c := range []struct {
		name           string
		server, client TLS
		want           codes.Code
	}{
		{"same authority", server, ours("127.0.0.2"), codes.Unimplemented}, // the server has no service
		{"client of another authority", server, mixed, codes.Unavailable},
		{"server of another authority", theirs("127.0.0.1"), ours("127.0.0.2"), codes.Unavailable},
		{"server of another address", ours("127.0.0.3"), ours("127.0.0.2"), codes.Unavailable},
		{"client without TLS", server, TLS{}, codes.Unavailable},
		{"server without TLS", TLS{}, ours("127.0.0.2"), codes.Unavailable},
		{"no TLS", TLS{}, TLS{}, codes.Unimplemented},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(callStatus(t, c.server, c.client), c.want) })
	}
	for _, bad := range []TLS{{Cert: file}, {Cert: server.Cert, Key: server.Key}, {Cert: server.Cert, Key: mixed.Key, CA: server.CA}} {
		_, err := bad.Server()
		is.True(err != nil) // no fallback to connections without TLS
	}
}

// callStatus returns the status code of a call from a client to a server with the
// given settings.
func callStatus(t *testing.T, server, client TLS) codes.Code {
	is := is.New(t)
	sc, err := server.Server()
	is.NoErr(err)
	cc, err := client.Client()
	is.NoErr(err)
	g := grpc.NewServer(grpc.Creds(sc))
	defer g.Stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = g.Serve(l) }()
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(cc))
	is.NoErr(err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return status.Code(conn.Invoke(ctx, "/none/None", &emptypb.Empty{}, &emptypb.Empty{}))
}
