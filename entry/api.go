package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

type responseWriterKey struct{}

func responseWriter(ctx context.Context) http.ResponseWriter {
	w, _ := ctx.Value(responseWriterKey{}).(http.ResponseWriter)
	return w
}

// Handler returns the HTTP handler of the caller API, with the health and
// readiness endpoints.
func (s *Server) Handler() http.Handler {
	call := endpoint.Chain(s.observeMiddleware, s.resolveMiddleware, s.limitMiddleware)(func(ctx context.Context, request any) (any, error) {
		resp, err := s.dispatchOnce(ctx, request.(*Request))
		if err != nil {
			return nil, err
		}
		return resp, nil
	})
	api := kithttp.NewServer(call, s.decodeCounted, encode,
		kithttp.ServerErrorEncoder(func(ctx context.Context, err error, w http.ResponseWriter) { writeError(ctx, w, err) }))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET "+pathModels, s.serveModels)
	mux.HandleFunc(pathModels, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", http.MethodGet)
		writeError(r.Context(), w, invalid(http.StatusMethodNotAllowed, CodeInvalidRequest, "method %s is not allowed, use GET", r.Method))
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		api.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), responseWriterKey{}, w)))
	})
	return s.withRequestID(mux)
}

// decodeCounted decodes a request. A request that is rejected here, before its
// service is resolved, is counted and logged without a service.
func (s *Server) decodeCounted(ctx context.Context, hr *http.Request) (any, error) {
	r, err := s.decode(ctx, hr)
	if err != nil {
		e := asError(err)
		s.observe(&Request{ID: requestID(ctx), Received: time.Now()}, e.Code, e.Run, "")
		return nil, err
	}
	return r, nil
}

// maxCallerIDBytes bounds how much of a caller's X-Request-Id is logged.
const maxCallerIDBytes = 128

// withRequestID assigns an id to every request and returns it in the response's
// X-Request-Id header. An X-Request-Id sent by the caller is only logged.
func (s *Server) withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set("X-Request-Id", id)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if callerID := r.Header.Get("X-Request-Id"); callerID != "" {
			s.log.Info("request", zap.String("request", id), zap.String("caller_request", callerID[:min(len(callerID), maxCallerIDBytes)]))
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), keyRequestID, id)))
	})
}

// resolveMiddleware resolves the service and the client account of a request.
func (s *Server) resolveMiddleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if err := s.resolve(request.(*Request)); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models and adapters that the caller's API key may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	apiKey := bearerToken(r)
	if err := s.authenticate(&Request{APIKey: apiKey}); err != nil {
		writeError(r.Context(), w, err)
		return
	}
	hash := keyHash(apiKey)
	for _, name := range s.Config.Services() {
		e, ok := s.Config.Get(name)
		if !ok || e.Document.Model == "" {
			continue
		}
		if _, ok := accountOf(e.Document, hash); !ok {
			continue
		}
		for _, m := range append([]string{e.Document.Model}, e.Document.Adapters...) {
			list.Data = append(list.Data, modelItem{m, "model", name})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
