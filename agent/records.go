package agent

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// serves reports whether this agent has an endpoint of the service.
func (s *Server) serves(service string) bool {
	for _, ep := range s.endpoints {
		if ep.Service == service {
			return true
		}
	}
	return false
}

// generation returns the generation of the service's configuration record, 0 if
// there is none.
func (s *Server) generation(service string) int64 {
	if e, ok := s.Config.Get(service); ok {
		return e.Record.Generation
	}
	return 0
}

// Offer implements the Offer RPC. It returns the agent's own generation and
// whether the agent needs the offered record.
func (s *Server) Offer(_ context.Context, r *pb.OfferRequest) (*pb.OfferReply, error) {
	held := s.generation(r.Service)
	if e, ok := s.Config.Get(r.Service); ok && held == r.Generation && e.Record.Digest() != r.Digest {
		s.log.Error("configuration differs within a generation", zap.String("service", r.Service), zap.Int64("generation", held),
			zap.String("held", e.Record.Digest()), zap.String("offered", r.Digest))
	}
	return &pb.OfferReply{Generation: held, Need: r.Generation > held && s.serves(r.Service)}, nil
}

// Put implements the Put RPC. The reply contains the error of a refused record.
func (s *Server) Put(_ context.Context, r *pb.PutRequest) (*pb.PutReply, error) {
	err := s.put(r.Service, r.Record)
	reply := &pb.PutReply{Generation: s.generation(r.Service)}
	if err != nil {
		s.log.Error("configuration refused; the last valid one stays in force", zap.String("service", r.Service), zap.Error(err))
		reply.Error = err.Error()
	}
	return reply, nil
}

func (s *Server) put(service string, data []byte) error {
	if !s.serves(service) {
		return &config.Error{Path: "service", Value: service, Allowed: "a service of this agent's endpoints"}
	}
	r, err := config.Decode(data)
	if err != nil {
		return err
	}
	accepted, err := s.Config.SetIfNewer(service, r)
	if err != nil {
		return fmt.Errorf("generation %d: %w", r.Generation, err)
	}
	if accepted {
		s.log.Info("configuration in force", zap.String("service", service), zap.Int64("generation", r.Generation),
			zap.String("change_id", r.ChangeID))
	}
	return nil
}

// Records implements the Records RPC.
func (s *Server) Records(context.Context, *pb.RecordsRequest) (*pb.RecordsReply, error) {
	reply := &pb.RecordsReply{}
	for _, service := range s.Config.Services() {
		e, _ := s.Config.Get(service)
		data, err := e.Record.Encode()
		if err != nil {
			return nil, fmt.Errorf("record of service %q: %w", service, err)
		}
		reply.Records = append(reply.Records, data)
	}
	return reply, nil
}
