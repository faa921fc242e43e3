package fleet

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/standin/plain"
)

// editDesk applies a document of the plain service with the given fields and waits
// until it is in force. account holds additional fields of its client account.
func editDesk(t *testing.T, f *Fleet, fields, account string) {
	t.Helper()
	is := is.New(t)
	store, err := f.Store()
	is.NoErr(err)
	r, _, err := store.Get(t.Context(), "desk")
	is.NoErr(err)
	_, err = store.Apply(t.Context(), fmt.Appendf(nil, `{"service":"desk","kind":"plain","routes":[{"path":"/book"},{"path":"/status","idempotent":true}],
		%s,"accounts":[{"name":"a","key_sha256":[%q]%s}]}`, fields, KeyHash("secret"), account), r.Generation, "test")
	is.NoErr(err)
	time.Sleep(10 * time.Second)
}

// Guards against a stall timeout that changes only with a restart.
func TestStallTimeoutTakesEffect(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		setPlainFaults(f, plain.Faults{Delay: 1500 * time.Millisecond})
		for _, stall := range []time.Duration{2 * time.Second, 7 * time.Second} {
			editDesk(t, f, fmt.Sprintf(`"timeouts":{"stall_timeout_ms":%d}`, stall.Milliseconds()), "")
			time.AfterFunc(200*time.Millisecond, func() {
				for _, a := range f.Agents {
					n.DropTraffic(a.Address, BothWays)
				}
			})
			begin := time.Now()
			code, _ := post(t, f, "/book", "van")
			is.Equal(code, 200)
			took := time.Since(begin) // Accepted may arrive at the same virtual time
			is.True(took >= stall && took < stall+2*time.Second)
		}
	})
}

// Guards against limits of a client account that are ignored or keep the value of
// an earlier generation.
func TestAccountSettingsTakeEffect(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		accepted := func(calls int) (n int) {
			var responses []<-chan response
			for i := range calls {
				responses = append(responses, postAsync(f, 0, fmt.Sprint(time.Now(), i), ""))
			}
			for _, a := range responses {
				if (<-a).code == http.StatusOK {
					n++
				}
			}
			return n
		}
		setPlainFaults(f, plain.Faults{Delay: 200 * time.Millisecond})
		const none = `"limits":{}`
		is.Equal(accepted(8), 8)
		editDesk(t, f, none, `,"max_running":3`)
		is.Equal(accepted(8), 3)
		editDesk(t, f, none, `,"requests_per_second":5`)
		is.Equal(accepted(8), 5)
		editDesk(t, f, none, `,"requests_per_second":2`)
		is.Equal(accepted(8), 2)
		editDesk(t, f, none, "")
		is.Equal(accepted(8), 8)
	})
}

// Guards against a claim whose retention differs from the document, and against
// claim writes above its limit.
func TestClaimSettingsTakeEffect(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		book := func(body, key string) response { return <-postAsync(f, 0, body, key) }
		for i, c := range []struct{ retention, bookings int }{{86_400, 1}, {60, 2}} {
			editDesk(t, f, fmt.Sprintf(`"timeouts":{"claim_retention_s":%d}`, c.retention), "")
			body, key := fmt.Sprint("van ", i), fmt.Sprint("key-", i)
			is.True(book(body, key).isBooking(body))
			time.Sleep(20 * time.Minute) // longer than the lease span of 10 minutes plus a retention of 60 s
			is.True(book(body, key).isBooking(body))
			n := 0
			for _, p := range f.Plains {
				n += p.Bookings(body)
			}
			is.Equal(n, c.bookings)
		}
		editDesk(t, f, `"budgets":{"claim_writes_per_second":2}`, "")
		is.Equal(book("one", "one").code, 200)
		is.True(strings.Contains(book("two", "two").body, `"code":"too_many_requests"`))
	})
}

// Guards against retries that the document forbids, and against retries that stay
// forbidden when a later document allows them.
func TestRetryPercentTakesEffect(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		for percent, attempts := range map[int]int{0: 1, 100: 2} {
			editDesk(t, f, fmt.Sprintf(`"budgets":{"retry_percent":%d}`, percent), "")
			code, _ := post(t, f, "/status", "warm")
			is.Equal(code, 200)
			setPlainFaults(f, plain.Faults{DropResponses: 1})
			before := totalCalls(f)
			code, _ = post(t, f, "/status", "van")
			is.Equal(code, http.StatusBadGateway)
			is.Equal(totalCalls(f)-before, attempts)
			setPlainFaults(f, plain.Faults{})
		}
	})
}

// Guards against timeouts and size limits for callers that have no effect below
// their defaults.
func TestCallerTimeoutsTakeEffect(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T, f *Fleet, n *MemoryNetwork) {
		is := is.New(t)
		store, err := f.Store()
		is.NoErr(err)
		_, err = store.Apply(t.Context(), fmt.Appendf(nil, `{"service":"llm","model":"m","version":"v1","timeouts":{"body_read_ms":1000},
			"limits":{"max_body_bytes":100},"accounts":[{"name":"a","key_sha256":[%q]}]}`, KeyHash("secret")), 1, "test")
		is.NoErr(err)
		editDesk(t, f, `"timeouts":{"body_read_ms":1000,"write_stall_ms":500},"limits":{"max_body_bytes":100}`, "")
		const head = "POST /book HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer secret\r\nContent-Length: "
		send := func(request string, pause time.Duration) string {
			c, err := n.Dial(t.Context(), "tcp", f.Entries[0].Address)
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, request)
			is.NoErr(err)
			time.Sleep(pause)
			b, _ := io.ReadAll(c)
			return string(b)
		}
		begin := time.Now()
		is.True(strings.HasPrefix(send(head+"9\r\n\r\n{", 0), "HTTP/1.1 408 "))
		is.True(time.Since(begin) < 2*time.Second)
		is.True(strings.HasPrefix(send(head+"101\r\n\r\n", 0), "HTTP/1.1 413 "))
		setPlainFaults(f, plain.Faults{Padding: 200 << 10})
		is.True(len(send(head+"1\r\n\r\n1", 0)) > 200<<10)
		is.True(len(send(head+"1\r\n\r\n1", 5*time.Second)) < 200<<10)
	})
}
