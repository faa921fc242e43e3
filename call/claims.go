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

// ClaimPrefix is the part of the key-value service that holds claims.
const ClaimPrefix = "citrontiller/claims/"

// MaxResultBody is the largest body stored in a claim, in bytes. Values are at
// most 1 MB and base64 adds a third.
const MaxResultBody = 512 << 10

// writesPerClaim is how many writes a keyed call costs: the claim, and its
// result or its release.
const writesPerClaim = 2

// Codes of claim errors.
const (
	// ClaimHeld means another request holds the claim.
	ClaimHeld = "held"
	// ClaimLimited means the limit on claim writes is reached.
	ClaimLimited = "limited"
	// ClaimStore means the store did not confirm the write.
	ClaimStore = "store"
)

// ClaimError reports why a claim was not made. The request must not be opened.
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

// Claim is the stored owner of an idempotency key.
type Claim struct {
	// Token is new in every write, so that a write whose answer was lost is
	// recognised by reading it back.
	Token       string `json:"token"`
	RequestID   string `json:"request_id"`
	AttemptID   string `json:"attempt_id"`
	BodySHA256  string `json:"body_sha256"`
	Endpoint    string `json:"endpoint"`
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	// TicketMs is the ticket of the attempt's Open, in the agent's milliseconds.
	TicketMs int64   `json:"ticket_ms"`
	Result   *Result `json:"result,omitempty"`

	// Key and Revision are where the claim was read or written.
	Key      string `json:"-"`
	Revision int64  `json:"-"`
	// Retention is how long a write keeps the claim at least; 0 means the
	// retention of ClaimOptions.
	Retention time.Duration `json:"-"`
}

// ClaimKey returns the store's key for a caller's idempotency key, which is
// valid within one client account and service.
func ClaimKey(account, service, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(service), service, key))
	return ClaimPrefix + url.PathEscape(account) + "/" + hex.EncodeToString(sum[:])
}

// BodyDigest returns the digest that tells whether a repeated request is the same.
func BodyDigest(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%d:%s", len(method), method, len(path), path)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// ClaimOptions are the settings of Claims.
type ClaimOptions struct {
	// Retention is how long a claim is kept that has none of its own.
	Retention time.Duration
	// LeaseSpan is how long one lease is used for new claims. Its time to live
	// is Retention plus LeaseSpan.
	LeaseSpan time.Duration
}

// DefaultClaimOptions returns the settings used when nothing else is given.
func DefaultClaimOptions() ClaimOptions {
	return ClaimOptions{Retention: 24 * time.Hour, LeaseSpan: 10 * time.Minute}
}

// Claims makes idempotency claims in the key-value service.
type Claims struct {
	kv   infra.KV
	opts ClaimOptions

	mu       sync.Mutex
	leases   map[time.Duration]grantedLease
	limiters map[string]*rate.Limiter
}

// grantedLease is a lease for the claims of one retention.
type grantedLease struct {
	id int64
	at time.Time
}

// NewClaims returns claims in the given store.
func NewClaims(kv infra.KV, opts ClaimOptions) *Claims {
	return &Claims{kv: kv, opts: opts, leases: map[time.Duration]grantedLease{}, limiters: map[string]*rate.Limiter{}}
}

// Allow takes a call's share of the service's writes per second, or returns
// ClaimLimited.
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

// Read returns the claim under a key, or infra.ErrNotFound.
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

// Write stores the claim over the revision it carries, 0 for a new one, and
// updates the revision. A lost answer is settled by reading back. On any error
// the claim must be taken as not made.
func (c *Claims) Write(ctx context.Context, cl *Claim) error {
	lease, err := c.currentLease(ctx, cl.Retention)
	if err != nil {
		return &ClaimError{Code: ClaimStore, Err: err}
	}
	cl.Token = uuid.NewString()
	value, err := json.Marshal(cl)
	if err != nil {
		return &ClaimError{Code: ClaimStore, Err: err}
	}
	revision, err := c.kv.CompareAndSwap(ctx, cl.Key, cl.Revision, value, lease)
	if errors.Is(err, infra.ErrConflict) && cl.Revision != 0 {
		if _, gone := c.kv.Get(ctx, cl.Key); errors.Is(gone, infra.ErrNotFound) {
			// The holder released the claim since it was read.
			cl.Revision = 0
			revision, err = c.kv.CompareAndSwap(ctx, cl.Key, 0, value, lease)
		}
	}
	switch {
	case err == nil:
		cl.Revision = revision
		return nil
	case errors.Is(err, infra.ErrConflict), errors.Is(err, infra.ErrUnknown):
		return c.settle(ctx, cl, err)
	default:
		return &ClaimError{Code: ClaimStore, Err: err}
	}
}

// settle reads the claim back after a conflict or a lost answer.
func (c *Claims) settle(ctx context.Context, cl *Claim, cause error) error {
	stored, err := c.Read(ctx, cl.Key)
	switch {
	case err != nil:
		return &ClaimError{Code: ClaimStore, Err: errors.Join(cause, err)}
	case stored.Token == cl.Token:
		cl.Revision = stored.Revision
		return nil
	case stored.Revision == cl.Revision:
		// The write is not there, but may still arrive.
		return &ClaimError{Code: ClaimStore, Err: cause}
	default:
		return &ClaimError{Code: ClaimHeld, Held: stored, Err: cause}
	}
}

// Release deletes the claim of a request that is proven not to have run.
func (c *Claims) Release(ctx context.Context, cl *Claim) error {
	return c.kv.Delete(ctx, cl.Key, cl.Revision)
}

// currentLease returns the lease shared by the claims of one retention and
// span. The span counts from before the grant was sent, so that a claim lives at
// least as long as the retention.
func (c *Claims) currentLease(ctx context.Context, retention time.Duration) (int64, error) {
	if retention <= 0 {
		retention = c.opts.Retention
	}
	c.mu.Lock()
	l, ok := c.leases[retention]
	c.mu.Unlock()
	if ok && time.Since(l.at) < c.opts.LeaseSpan {
		return l.id, nil
	}
	start := time.Now()
	id, err := c.kv.Grant(ctx, retention+c.opts.LeaseSpan)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// Leases of retentions that no document has any more would stay otherwise.
	maps.DeleteFunc(c.leases, func(_ time.Duration, l grantedLease) bool { return time.Since(l.at) >= c.opts.LeaseSpan })
	c.leases[retention] = grantedLease{id, start}
	return id, nil
}
