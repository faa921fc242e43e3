package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Sizes of the trace. As in docs/design.md, a prompt consists of nested prefix
// levels: the instructions of an account's shop, one of its guides, a customer's
// history and a question.
const (
	accounts       = 8
	guides         = 6
	customers      = 30 // per account
	shopTokens     = 1000
	guideTokens    = 2000
	historyTokens  = 4000
	questionTokens = 100
	longTokens     = 16_000
	checkTokens    = 200
	bytesPerToken  = 4

	longOutputTokens  = 250
	checkOutputTokens = 4
	meanOutputTokens  = 25
	// maxOutputTokens is the max_tokens of every request, far more than the responses
	// have.
	maxOutputTokens = 4096

	// hotShare of the requests come from hotCustomers customers, which change once per
	// hotPeriod.
	hotShare     = 0.4
	hotCustomers = 3
	hotPeriod    = 5 * time.Second
	longShare    = 0.015
	// randomRegionShare is the share of requests that come from a random region
	// instead of the customer's own.
	randomRegionShare = 0.2
	// abandonShare of the callers disconnect after abandonAfter.
	abandonShare = 0.02
	abandonAfter = 150 * time.Millisecond
)

// request is one request of a trace.
type request struct {
	arrival time.Duration
	region  int
	account int
	// service is the name of the service and of its model.
	service  string
	messages []string
	long     bool
	// abandoned reports whether the caller disconnects before the response ends.
	abandoned bool
}

// newTrace returns the requests of a trace. They depend only on the workload and the
// seed.
func newTrace(w Workload, seed uint64) []request {
	rng := rand.New(rand.NewPCG(seed, 1))
	var requests []request
	for at := time.Duration(0); ; {
		rate := w.RequestsPerSecond
		if w.surging(at) {
			rate *= w.SurgeFactor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= w.Duration {
			return requests
		}
		req := newRequest(rng, at, len(requests))
		requests = append(requests, req)
		if rng.Float64() < w.ChecksPerRequest {
			requests = append(requests, newCheck(rng, req, len(requests)))
		}
	}
}

// pickAccount returns a random account. Accounts with low numbers are more frequent.
func pickAccount(rng *rand.Rand) int {
	x := rng.Float64()
	return int(x * x * accounts)
}

func newRequest(rng *rand.Rand, at time.Duration, n int) request {
	account, customer := pickAccount(rng), rng.IntN(customers)
	if rng.Float64() < hotShare {
		hot := (int(at/hotPeriod)*7 + rng.IntN(hotCustomers)*3)
		account, customer = hot%accounts, hot%customers
	}
	req := request{arrival: at, service: serviceLarge, account: account, region: (account + customer) % regions}
	if rng.Float64() < randomRegionShare {
		req.region = rng.IntN(regions)
	}
	output, question := 2+int(rng.ExpFloat64()*meanOutputTokens), questionTokens
	if req.long = rng.Float64() < longShare; req.long {
		output, question = longOutputTokens, longTokens
	}
	req.abandoned = !req.long && rng.Float64() < abandonShare
	req.messages = []string{
		promptText(fmt.Sprintf("shop %d", account), shopTokens),
		promptText(fmt.Sprintf("guide %d %d", account, customer%guides), guideTokens),
		promptText(fmt.Sprintf("history %d %d", account, customer), historyTokens),
		promptText(fmt.Sprintf("question %d", n), question) + outputLengthMark + fmt.Sprint(output),
	}
	return req
}

// newCheck returns a short check to the small service that accompanies a request.
func newCheck(rng *rand.Rand, checked request, n int) request {
	return request{arrival: checked.arrival, service: serviceSmall, account: checked.account, region: checked.region, messages: []string{
		promptText(fmt.Sprintf("tags %d", checked.account), shopTokens),
		promptText(fmt.Sprintf("check %d %d", n, rng.IntN(100)), checkTokens) + outputLengthMark + fmt.Sprint(checkOutputTokens)}}
}

// promptText returns a text of the given length in tokens. Texts of different seeds
// share no cache block.
func promptText(seed string, tokens int) string {
	line := seed + "; "
	return strings.Repeat(line, tokens*bytesPerToken/len(line)+1)[:tokens*bytesPerToken]
}

// outputLengthMark precedes the number of output tokens at the end of a prompt.
const outputLengthMark = " length "

// outputTokens returns the number of tokens that an engine generates for a prompt,
// unless max_tokens is less.
func outputTokens(prompt string) int {
	var n int
	_, _ = fmt.Sscanf(prompt[strings.LastIndex(prompt, outputLengthMark)+len(outputLengthMark):], "%d", &n)
	return n
}

// uniquePromptTokens returns the number of prompt tokens that every policy must
// compute at least once.
func uniquePromptTokens(requests []request) int {
	type prefix struct {
		service string
		account int
		text    string
	}
	seen, tokens := map[prefix]bool{}, 0
	for i := range requests {
		key := prefix{service: requests[i].service, account: requests[i].account}
		for _, p := range requests[i].messages {
			key.text += p[:min(len(p), 40)] + "|"
			if !seen[key] {
				seen[key] = true
				tokens += len(p) / bytesPerToken
			}
		}
	}
	return tokens
}
