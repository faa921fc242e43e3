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

// Handler returns the caller API with health and readiness.
func (s *Server) Handler() http.Handler {
	call := endpoint.Chain(s.observing, s.resolving, s.limiting)(func(ctx context.Context, request any) (any, error) {
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
	return s.identified(mux)
}

// decodeCounted counts requests that are refused before their service is known.
func (s *Server) decodeCounted(ctx context.Context, hr *http.Request) (any, error) {
	r, err := s.decode(ctx, hr)
	if err != nil {
		e := asError(err)
		s.observe(&Request{ID: requestID(ctx), Received: time.Now()}, e.Code, e.Run, "")
		return nil, err
	}
	return r, nil
}

// maxCallerID is how much of a caller's X-Request-Id is logged, in bytes.
const maxCallerID = 128

// identified gives every request an id of ours and every response its
// X-Request-Id. A caller's own id only goes to the log.
func (s *Server) identified(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set("X-Request-Id", id)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if theirs := r.Header.Get("X-Request-Id"); theirs != "" {
			s.log.Info("request", zap.String("request", id), zap.String("caller_request", theirs[:min(len(theirs), maxCallerID)]))
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), keyRequestID, id)))
	})
}

// resolving is the middleware that finds the service and checks the account.
func (s *Server) resolving(next endpoint.Endpoint) endpoint.Endpoint {
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

// serveModels lists the models that the caller's key may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	token := bearer(r)
	if err := s.authenticate(&Request{Token: token}); err != nil {
		writeError(r.Context(), w, err)
		return
	}
	hash := keyHash(token)
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
