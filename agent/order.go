package agent

import (
	"context"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// Order implements the Order RPC. It rejects an order with a lower fencing token
// than an earlier one, even if the engine does not check the token.
func (s *Server) Order(ctx context.Context, r *pb.OrderRequest) (*pb.OrderReply, error) {
	ep := s.endpoints[r.EndpointId]
	if ep == nil || ep.Kind != infra.Engine {
		return &pb.OrderReply{Message: "no engine " + r.EndpointId + " at this agent"}, nil
	}
	o := Order{Model: r.Model, Version: r.Version, Adapters: r.Adapters, Role: r.Role, Fence: r.Fence}
	highest, err := s.fence.Do(ctx.Done(), ep.ID, r.Fence, func() error { return ep.driver.Order(ctx, ep.Endpoint, o) })
	reply := &pb.OrderReply{Accepted: err == nil, HighestFence: highest}
	if err != nil {
		reply.Message = err.Error()
	}
	s.log.Info("order", zap.String("endpoint", ep.ID), zap.String("model", r.Model), zap.String("version", r.Version),
		zap.String("role", r.Role), zap.Int64("fence", r.Fence), zap.Int64("highest_fence", highest), zap.Error(err))
	return reply, nil
}
