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
	// peerPrefix is the prefix of the gateways' registrations in the store; the
	// gateway's name follows it.
	peerPrefix = "citrontiller/peers/"
	// peerTTL is the duration of the lease on a gateway's registration.
	peerTTL = 12 * time.Second
	// peerRetryDelay is the delay before a failed registration is retried.
	peerRetryDelay = time.Second
)

// record returns this gateway's registration.
func (p *gatewayProcess) record() peer.Record {
	return peer.Record{Name: p.hostSettings.Name, Address: p.hostSettings.PeerAddress, Region: p.hostSettings.Region}
}

// register keeps this gateway registered in the store until ctx ends.
func (p *gatewayProcess) register(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := p.writeRecord(ctx)
		if err != nil {
			p.log.Info("registration failed", zap.Error(err))
			wait.Sleep(ctx, peerRetryDelay)
			continue
		}
		p.log.Info("registered", zap.Int64("lease", lease))
		p.renew(ctx, lease)
	}
}

// writeRecord writes the registration under a new lease and returns the lease.
func (p *gatewayProcess) writeRecord(ctx context.Context) (int64, error) {
	value, err := json.Marshal(p.record())
	if err != nil {
		return 0, err
	}
	lease, err := p.store.Grant(ctx, peerTTL)
	if err != nil {
		return 0, err
	}
	key := peerPrefix + p.hostSettings.Name
	old, err := p.store.Get(ctx, key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return 0, err
	}
	_, err = p.store.CompareAndSwap(ctx, key, old.Revision, value, lease)
	return lease, err
}

// renew renews a lease until it has expired, the store was restored or ctx ends.
func (p *gatewayProcess) renew(ctx context.Context, lease int64) {
	for ctx.Err() == nil {
		select {
		case <-time.After(peerTTL / 3):
		case <-p.restored:
			p.log.Info("registering again after the store was restored", zap.Int64("lease", lease))
			return
		case <-ctx.Done():
			return
		}
		_, err := p.store.KeepAlive(ctx, lease)
		if errors.Is(err, infra.ErrNotFound) {
			p.log.Info("registration expired", zap.Int64("lease", lease))
			return
		}
	}
}

func (p *gatewayProcess) servePeers(ctx context.Context, l net.Listener) {
	if err := p.peerServer.Serve(ctx, l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		p.log.Error("peer server stopped", zap.Error(err))
	}
}
