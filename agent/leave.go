package agent

import (
	"context"

	"go.uber.org/zap"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// Watch implements the Watch RPC. It returns when the agent has drained.
func (s *Server) Watch(_ *pb.WatchRequest, srv pb.Agent_WatchServer) error {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	s.watchers[changed] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watchers, changed)
		s.mu.Unlock()
	}()
	for {
		if err := srv.Send(s.state()); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-s.drained:
			return nil
		case <-srv.Context().Done():
			return srv.Context().Err()
		}
	}
}

func (s *Server) state() *pb.AgentState {
	st := &pb.AgentState{Incarnation: s.incarnation, TicketMs: s.ticket(), Leaving: s.isLeaving()}
	for _, ep := range s.endpoints {
		st.Endpoints = append(st.Endpoints, ep.load())
	}
	return st
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Ready reports whether the agent accepts new attempts.
func (s *Server) Ready() bool { return !s.isLeaving() }

// Leave makes the agent refuse new attempts and notifies every watcher.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.notifyWatchers()
	s.log.Info("leaving", zap.String("incarnation", s.incarnation))
}

// notifyWatchers makes every Watch stream send the agent's state.
func (s *Server) notifyWatchers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// Drain waits until every attempt has ended, or returns the error of ctx if that
// ends first. Once every attempt has ended, the Watch streams end too, because a
// graceful stop of the gRPC server would wait for them.
func (s *Server) Drain(ctx context.Context) error {
	go func() {
		s.running.Wait()
		s.drainOnce.Do(func() { close(s.drained) })
	}()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
