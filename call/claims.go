package call

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/citrontiller/citrontiller/infra"
)

// ClaimPrefix is the prefix of the claims' keys in the key-value service.
const ClaimPrefix = "citrontiller/claims/"

// MaxResultBody is the largest body stored in a claim, in bytes. Values in the
// store are limited to 1 MB and base64 adds a third.
const MaxResultBody = 512 << 10

// writesPerClaim is the number of store writes of a request with an idempotency
// key: the claim, and its result or its release.
const writesPerClaim = 2

// Codes of claim errors.
const (
	// ClaimHeld means another request holds the claim.
	ClaimHeld = "held"
	// ClaimLimited means the limit on claim writes is reached.
	ClaimLimited = "limited"
	// ClaimStoreFailed means the store did not confirm the write.
	ClaimStoreFailed = "store"
)

// ClaimError reports why a claim was not made. The request must not be sent.
type ClaimError struct {
	Code string
	// Held is the other request's claim when Code is ClaimHeld.
	Held *Claim
	Err  error
}

func (e *ClaimError) Error() string {
	if e.Err == nil {
		return "claim: " + e.Code
	}
	return fmt.Sprintf("claim: %s: %v", e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *ClaimError) Unwrap() error { return e.Err }

// ResultHeader is one header line of a stored response.
type ResultHeader struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Result is a finished response.
type Result struct {
	Status  int            `json:"status"`
	Headers []ResultHeader `json:"headers,omitempty"`
	Body    []byte         `json:"body,omitempty"`
	// Omitted is true when the body exceeded MaxResultBody and was not stored.
	Omitted bool `json:"omitted,omitempty"`
}

// Claim is the stored record that assigns an idempotency key to one request.
type Claim struct {
	// Token is unique to each write, so that a write whose response was lost is
	// recognised by reading the claim back.
	Token     string `json:"token"`
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	// BodySHA256 is the BodyDigest of the request.
	BodySHA256 string `json:"body_sha256"`
	// Endpoint, Agent (its address) and Incarnation identify where the attempt was
	// opened.
	Endpoint    string `json:"endpoint"`
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	// TicketMs is the ticket of the attempt's Open: the agent's monotonic time in
	// milliseconds.
	TicketMs int64   `json:"ticket_ms"`
	Result   *Result `json:"result,omitempty"`

	// Key and Revision are the store key and the revision at which the claim was
	// last read or written.
	Key      string `json:"-"`
	Revision int64  `json:"-"`
	// Retention is the least time that the claim is kept after a write; 0 means
	// the retention of ClaimOptions.
	Retention time.Duration `json:"-"`
}

// ClaimKey returns the store key for a caller's idempotency key. Idempotency keys
// are scoped to a client account and service.
func ClaimKey(account, service, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(service), service, key))
	return ClaimPrefix + url.PathEscape(account) + "/" + hex.EncodeToString(sum[:])
}

// BodyDigest returns a hex SHA-256 digest of method, path and body, which detects
// that an idempotency key is reused for a different request.
func BodyDigest(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%d:%s", len(method), method, len(path), path)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// ClaimOptions configures Claims.
type ClaimOptions struct {
	// Retention is how long claims without a retention of their own are kept.
	Retention time.Duration
	// LeaseSpan is how long one lease is used for new claims. Its time to live
	// is Retention plus LeaseSpan.
	LeaseSpan time.Duration
}

// DefaultClaimOptions returns the default settings of Claims.
func DefaultClaimOptions() ClaimOptions {
	return ClaimOptions{Retention: 24 * time.Hour, LeaseSpan: 10 * time.Minute}
}

// Claims stores idempotency claims in the key-value service and limits the rate of
// claim writes per service. It is safe for concurrent use.
type Claims struct {
	kv   infra.KV
	opts ClaimOptions

	mu       sync.Mutex
	leases   map[time.Duration]grantedLease
	limiters map[string]*rate.Limiter
}

// grantedLease is a lease for the claims of one retention.
type grantedLease struct {
	id        int64
	grantedAt time.Time
}

// NewClaims returns Claims backed by kv.
func NewClaims(kv infra.KV, opts ClaimOptions) *Claims {
	return &Claims{kv: kv, opts: opts, leases: map[time.Duration]grantedLease{}, limiters: map[string]*rate.Limiter{}}
}

// Allow consumes the store writes of one claim from the service's limit, in writes
// per second. It returns a *ClaimError with code ClaimLimited when the limit is
// reached.
func (c *Claims) Allow(service string, writesPerSecond int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.limiters[service]
	if !ok || l.Limit() != rate.Limit(writesPerSecond) {
		l = rate.NewLimiter(rate.Limit(writesPerSecond), max(writesPerSecond, writesPerClaim))
		c.limiters[service] = l
	}
	if !l.AllowN(time.Now(), writesPerClaim) {
		return &ClaimError{Code: ClaimLimited}
	}
	return nil
}

// Read returns the claim stored under a key. It returns infra.ErrNotFound if there
// is none, and an *infra.Error with code infra.Invalid if the value can't be decoded.
func (c *Claims) Read(ctx context.Context, key string) (*Claim, error) {
	p, err := c.kv.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	cl := &Claim{Key: key, Revision: p.Revision}
	if err := json.Unmarshal(p.Value, cl); err != nil {
		return nil, &infra.Error{Code: infra.Invalid, Op: "read " + key, Err: err}
	}
	return cl, nil
}

// Write stores the claim if the stored revision equals cl.Revision, 0 for a new
// claim, and updates cl.Revision. A lost response is resolved by reading the claim
// back. The error is a *ClaimError; on any error the claim must be treated as not
// made.
func (c *Claims) Write(ctx context.Context, cl *Claim) error {
	lease, err := c.currentLease(ctx, cl.Retention)
	if err != nil {
		return &ClaimError{Code: ClaimStoreFailed, Err: err}
	}
	cl.Token = uuid.NewString()
	value, err := json.Marshal(cl)
	if err != nil {
		return &ClaimError{Code: ClaimStoreFailed, Err: err}
	}
	revision, err := c.kv.CompareAndSwap(ctx, cl.Key, cl.Revision, value, lease)
	if errors.Is(err, infra.ErrConflict) && cl.Revision != 0 {
		if _, gone := c.kv.Get(ctx, cl.Key); errors.Is(gone, infra.ErrNotFound) {
			// The holder released the claim after it was read.
			cl.Revision = 0
			revision, err = c.kv.CompareAndSwap(ctx, cl.Key, 0, value, lease)
		}
	}
	switch {
	case err == nil:
		cl.Revision = revision
		return nil
	case errors.Is(err, infra.ErrConflict), errors.Is(err, infra.ErrUnknown):
		return c.confirmWrite(ctx, cl, err)
	default:
		return &ClaimError{Code: ClaimStoreFailed, Err: err}
	}
}

// confirmWrite reads the claim back after a conflict or a lost response. It returns
// nil when the stored claim is the one written.
func (c *Claims) confirmWrite(ctx context.Context, cl *Claim, cause error) error {
	stored, err := c.Read(ctx, cl.Key)
	switch {
	case err != nil:
		return &ClaimError{Code: ClaimStoreFailed, Err: errors.Join(cause, err)}
	case stored.Token == cl.Token:
		cl.Revision = stored.Revision
		return nil
	case stored.Revision == cl.Revision:
		// The write has not been applied, but may still arrive at the store.
		return &ClaimError{Code: ClaimStoreFailed, Err: cause}
	default:
		return &ClaimError{Code: ClaimHeld, Held: stored, Err: cause}
	}
}

// Release deletes the claim of a request that has provably not run. It returns
// infra.ErrConflict if the claim has changed since cl.Revision.
func (c *Claims) Release(ctx context.Context, cl *Claim) error {
	return c.kv.Delete(ctx, cl.Key, cl.Revision)
}

// currentLease returns the lease shared by the claims of one retention; a new one
// is granted every LeaseSpan. The span is measured from before the grant request,
// so that a claim lives at least as long as the retention.
func (c *Claims) currentLease(ctx context.Context, retention time.Duration) (int64, error) {
	if retention <= 0 {
		retention = c.opts.Retention
	}
	c.mu.Lock()
	l, ok := c.leases[retention]
	c.mu.Unlock()
	if ok && time.Since(l.grantedAt) < c.opts.LeaseSpan {
		return l.id, nil
	}
	start := time.Now()
	id, err := c.kv.Grant(ctx, retention+c.opts.LeaseSpan)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// Without this, leases of retentions that no document uses any more would remain.
	maps.DeleteFunc(c.leases, func(_ time.Duration, l grantedLease) bool { return time.Since(l.grantedAt) >= c.opts.LeaseSpan })
	c.leases[retention] = grantedLease{id, start}
	return id, nil
}
