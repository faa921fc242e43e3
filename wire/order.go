package wire

import (
	"context"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// Order sends an order with a fencing token to the agent. The error is an *Error;
// the engine may still have received the order.
func (l *Link) Order(ctx context.Context, r *pb.OrderRequest) (reply *pb.OrderReply, err error) {
	err = l.unary(ctx, func(c pb.AgentClient) error {
		reply, err = c.Order(ctx, r)
		return err
	})
	return reply, err
}
