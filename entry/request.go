package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/config"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/prefix"
	"github.com/citrontiller/citrontiller/stream"
)

// Paths of the OpenAI-compatible API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
)

// Request is a caller's request after parsing.
type Request struct {
	ID      string
	Method  string
	Path    string
	Headers []stream.Header
	Body    []byte
	APIKey  string
	Service string
	Account string
	// Document and Generation are those of the service's record in force.
	Document   *config.Document
	Generation int64
	Model      string
	Stream     bool
	Idempotent bool
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	// Segments are the parts of the prompt: one per message of a chat, or the whole
	// prompt.
	Segments [][]byte
	// MaxTokens is the caller's limit on generated tokens, 0 if not set.
	MaxTokens int64
	Received  time.Time
	// resumable is true if an interrupted stream may continue on another engine.
	resumable bool

	guard guard
}

// Scope returns the request's cache scope for the document's weights version.
func (r *Request) Scope() prefix.Scope { return r.scopeOf(r.Document.Version) }

// scopeOf returns the request's cache scope for a weights version.
func (r *Request) scopeOf(version string) prefix.Scope {
	return prefix.Scope{Account: r.Account, Model: r.Document.Model, Adapter: r.adapter(), Version: version}
}

// adapter returns the name of the requested adapter, empty for the base model.
func (r *Request) adapter() string {
	if r.Model == r.Document.Model {
		return ""
	}
	return r.Model
}

type contextKey int

const keyRequestID contextKey = iota

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(keyRequestID).(string)
	return id
}

// invalid returns an error for a request that is rejected without being run.
func invalid(status int, code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Run: call.NotRun}
}

// forwardedHeaders are the request headers that are forwarded to endpoints.
var forwardedHeaders = []string{"Accept", "Content-Type", "User-Agent", "Idempotency-Key"}

// decode reads an HTTP request. The API key is checked before the body is read,
// because the services of the key determine the limits on the body.
func (s *Server) decode(ctx context.Context, hr *http.Request) (any, error) {
	r := &Request{ID: requestID(ctx), Method: hr.Method, Path: hr.URL.RequestURI(), Received: time.Now(),
		APIKey: bearerToken(hr), IdempotencyKey: hr.Header.Get("Idempotency-Key")}
	for _, name := range forwardedHeaders {
		for _, v := range hr.Header.Values(name) {
			r.Headers = append(r.Headers, stream.Header{Name: name, Value: v})
		}
	}
	completion := hr.URL.Path == pathChat || hr.URL.Path == pathCompletions
	if completion && hr.Method != http.MethodPost {
		return nil, invalid(http.StatusMethodNotAllowed, CodeInvalidRequest, "method %s is not allowed, use POST", hr.Method)
	}
	if err := s.authenticate(r); err != nil {
		return nil, err
	}
	body, err := s.readBody(hr, keyHash(r.APIKey))
	if err != nil {
		return nil, err
	}
	r.Body = body
	if completion {
		return r, r.parseCompletion(hr.URL.Path == pathChat)
	}
	return r, nil
}

func bearerToken(hr *http.Request) string {
	t, _ := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
	return t
}

// readBody reads the body, within the largest size and the longest timeout of the
// services that the key may use.
func (s *Server) readBody(hr *http.Request, keyHash string) ([]byte, error) {
	limit, timeout := s.bodyLimits(keyHash)
	if hr.ContentLength > limit {
		return nil, invalid(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body exceeds %d bytes", limit)
	}
	rc := http.NewResponseController(responseWriter(hr.Context()))
	_ = rc.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(io.LimitReader(hr.Body, limit+1))
	if err == nil {
		// The deadline is kept after a failure, because net/http reads the rest
		// of the body before it closes the connection.
		_ = rc.SetReadDeadline(time.Time{})
	}
	switch {
	case err == nil && int64(len(body)) > limit:
		return nil, invalid(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body exceeds %d bytes", limit)
	case err == nil:
		return body, nil
	case isTimeout(err):
		return nil, invalid(http.StatusRequestTimeout, CodeBodyTimeout, "the body did not arrive within %s", timeout)
	default:
		return nil, invalid(http.StatusBadRequest, CodeInvalidRequest, "the body could not be read: %v", err)
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// authenticate rejects a key that is not in any service's document. It runs before
// the body is read, so that callers without a key can't exhaust the entry's memory.
func (s *Server) authenticate(r *Request) error {
	names := s.Config.Services()
	hash := keyHash(r.APIKey)
	for _, name := range names {
		if e, ok := s.Config.Get(name); ok {
			if _, ok := accountOf(e.Document, hash); ok {
				return nil
			}
		}
	}
	if len(names) == 0 {
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Message: "no configuration yet", Run: call.NotRun, RetryAfter: time.Second}
	}
	return invalid(http.StatusUnauthorized, CodeInvalidKey, "the API key is missing or not valid")
}

// resolve sets the service and the client account of a request. It returns an error
// if no service matches, the key is not valid for it or the body is too large.
func (s *Server) resolve(r *Request) error {
	names := s.Config.Services()
	if len(names) == 0 {
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Message: "no configuration yet", Run: call.NotRun, RetryAfter: time.Second}
	}
	var found bool
	hash := keyHash(r.APIKey)
	for _, name := range names {
		e, ok := s.Config.Get(name)
		if !ok || !r.matches(e.Document) {
			continue
		}
		found = true
		if account, ok := accountOf(e.Document, hash); ok {
			r.Service, r.Account, r.Document, r.Generation = name, account, e.Document, e.Record.Generation
			return r.checkBodySize()
		}
	}
	if !found && r.Model != "" {
		return invalid(http.StatusNotFound, CodeModelNotFound, "model %q does not exist", r.Model)
	}
	if !found {
		return invalid(http.StatusNotFound, CodeNotFound, "no service serves %s %s", r.Method, r.Path)
	}
	return invalid(http.StatusUnauthorized, CodeInvalidKey, "the API key is missing or not valid for this service")
}

func (r *Request) checkBodySize() error {
	if int64(len(r.Body)) > r.Document.Limits.MaxBodyBytes {
		return invalid(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body exceeds %d bytes", r.Document.Limits.MaxBodyBytes)
	}
	return nil
}

// matches reports whether a document's service serves the request. For plain
// services it also sets whether the call is idempotent.
func (r *Request) matches(d *config.Document) bool {
	if d.Kind == infra.Engine {
		return r.Model != "" && (r.Model == d.Model || slices.Contains(d.Adapters, r.Model))
	}
	if r.Model != "" {
		return false
	}
	path, _, _ := strings.Cut(r.Path, "?")
	for _, route := range d.Routes {
		if !underPath(path, route.Path) || (len(route.Methods) > 0 && !slices.Contains(route.Methods, r.Method)) {
			continue
		}
		r.Idempotent = route.Idempotent || slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, r.Method)
		return true
	}
	return false
}

// underPath reports whether path is base or below it.
func underPath(path, base string) bool {
	base = strings.TrimSuffix(base, "/")
	return path == base || strings.HasPrefix(path, base+"/")
}

func keyHash(apiKey string) string {
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:])
}

// accountOf returns the account of a document whose key has the given hash.
func accountOf(d *config.Document, hash string) (string, bool) {
	for _, a := range d.Accounts {
		for _, k := range a.KeySHA256 {
			if subtle.ConstantTimeCompare([]byte(strings.ToLower(k)), []byte(hash)) == 1 {
				return a.Name, true
			}
		}
	}
	return "", false
}
