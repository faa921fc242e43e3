package gatewayd

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/internal/wait"
	"github.com/citrontiller/citrontiller/peer"
)

const (
	// peerPrefix precedes a gateway's name in the store.
	peerPrefix = "citrontiller/peers/"
	// peerTTL is the length of the lease on a gateway's record.
	peerTTL = 12 * time.Second
	// peerRetry is the time between two tries to write the record.
	peerRetry = time.Second
)

// record is how this process announces itself.
func (p *gatewayProcess) record() peer.Record {
	return peer.Record{Name: p.host.Name, Address: p.host.PeerAddress, Region: p.host.Region}
}

// register keeps this process's record in the store until ctx ends.
func (p *gatewayProcess) register(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := p.announce(ctx)
		if err != nil {
			p.log.Info("not registered", zap.Error(err))
			wait.Sleep(ctx, peerRetry)
			continue
		}
		p.log.Info("registered", zap.Int64("lease", lease))
		p.renew(ctx, lease)
	}
}

// announce writes the record under a new lease.
func (p *gatewayProcess) announce(ctx context.Context) (int64, error) {
	value, err := json.Marshal(p.record())
	if err != nil {
		return 0, err
	}
	lease, err := p.store.Grant(ctx, peerTTL)
	if err != nil {
		return 0, err
	}
	key := peerPrefix + p.host.Name
	old, err := p.store.Get(ctx, key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return 0, err
	}
	_, err = p.store.CompareAndSwap(ctx, key, old.Revision, value, lease)
	return lease, err
}

// renew renews a lease until it has ended.
func (p *gatewayProcess) renew(ctx context.Context, lease int64) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, peerTTL/3)
		_, err := p.store.KeepAlive(ctx, lease)
		if errors.Is(err, infra.ErrNotFound) {
			p.log.Info("registration lapsed", zap.Int64("lease", lease))
			return
		}
	}
}

func (p *gatewayProcess) servePeers(ctx context.Context, l net.Listener) {
	if err := p.peerServer.Serve(ctx, l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		p.log.Error("peer server ended", zap.Error(err))
	}
}
