package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/citrontiller/citrontiller/internal/process"
	"github.com/citrontiller/citrontiller/wire/pb"
)

func parse(t *testing.T, args ...string) Settings {
	t.Helper()
	var s Settings
	p, err := arg.NewParser(arg.Config{}, &s)
	is.New(t).NoErr(err)
	is.New(t).NoErr(p.Parse(append([]string{"--listen", freeAddress(t), "--endpoint", "e,s,plain,127.0.0.1:9"}, args...)))
	return s
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against invalid settings that are accepted, and against errors that do
// not name the flag, the value and the allowed values.
func TestSettings(t *testing.T) {
	_, _, err := parse(t).Options(zap.NewNop())
	is.New(t).NoErr(err) // the defaults are valid
	for _, v := range []string{"--listen=x", "--operator-listen=x", "--endpoint=e", "--endpoint=e,s,db,127.0.0.1:1",
		"--ticket-lifetime=1ms", "--result-retention=90s", "--detach-grace=-1s", "--progress-interval=2s", "--stop-timeout=1h",
		"--stream-buffer-bytes=1", "--replay-bytes=1", "--result-bytes=1", "--concurrency=0"} {
		t.Run(v, func(t *testing.T) {
			is := is.New(t)
			_, _, err := parse(t, v).Options(zap.NewNop())
			var se *process.SettingError
			is.True(errors.As(err, &se))
			flag, value, _ := strings.Cut(v, "=")
			is.Equal(se.Flag, flag)
			is.True(strings.Contains(se.Error(), strings.TrimSuffix(value, "ms")) || strings.Contains(se.Error(), "1h0m0s") || strings.Contains(se.Error(), "1m30s"))
			is.True(se.Allowed != "")
		})
	}
}

// Guards against an entry that stops responding and blocks the agent's exit
// forever, and against a readiness check that succeeds while the agent leaves.
func TestStopIsBounded(t *testing.T) {
	is := is.New(t)
	s := parse(t, "--stop-timeout", "300ms", "--operator-listen", freeAddress(t))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, s, zap.NewNop()) }()
	conn, err := grpc.NewClient(s.Listen, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer conn.Close()
	_, err = pb.NewAgentClient(conn).Run(context.Background(), grpc.WaitForReady(true)) // the client sends nothing
	is.NoErr(err)
	_, err = pb.NewAgentClient(conn).Records(context.Background(), &pb.RecordsRequest{})
	is.NoErr(err) // the server has accepted the stream by then
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		r, err := http.Get("http://" + s.OperatorListen + path)
		is.NoErr(err)
		_ = r.Body.Close()
		is.Equal(r.StatusCode, http.StatusOK)
	}
	cancel()
	time.Sleep(50 * time.Millisecond)
	r, err := http.Get("http://" + s.OperatorListen + "/readyz")
	is.NoErr(err)
	_ = r.Body.Close()
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("the agent did not exit within 5 s")
	}
}
