package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Sizes of the prompts. The levels nest in the order of the design page.
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

	longOutput  = 250
	checkOutput = 4
	meanOutput  = 25
	// limitTokens is the max_tokens of every request, far more than it uses.
	limitTokens = 4096

	// hotShare of the requests go to hotCount customers, which change once per hotPeriod.
	hotShare  = 0.4
	hotCount  = 3
	hotPeriod = 5 * time.Second
	longShare = 0.015
	// strayShare is the share of a customer's requests from another region.
	strayShare = 0.2
	// abandonShare of the callers leave after abandonAfter.
	abandonShare = 0.02
	abandonAfter = 150 * time.Millisecond
)

// job is one request of a trace.
type job struct {
	at      time.Duration
	region  int
	account int
	// service is the model asked for.
	service string
	parts   []string
	long    bool
	// leaves is set when the caller abandons the request.
	leaves bool
}

// newTrace returns the same jobs for the same workload and seed.
func newTrace(w Workload, seed uint64) []job {
	rng := rand.New(rand.NewPCG(seed, 1))
	var jobs []job
	for at := time.Duration(0); ; {
		rate := w.RequestsPerSecond
		if w.surging(at) {
			rate *= w.SurgeFactor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= w.Duration {
			return jobs
		}
		j := newJob(rng, at, len(jobs))
		jobs = append(jobs, j)
		if rng.Float64() < w.ChecksPerRequest {
			jobs = append(jobs, newCheck(rng, j, len(jobs)))
		}
	}
}

// pickAccount gives the first accounts most of the requests.
func pickAccount(rng *rand.Rand) int {
	x := rng.Float64()
	return int(x * x * accounts)
}

func newJob(rng *rand.Rand, at time.Duration, n int) job {
	account, customer := pickAccount(rng), rng.IntN(customers)
	if rng.Float64() < hotShare {
		hot := (int(at/hotPeriod)*7 + rng.IntN(hotCount)*3)
		account, customer = hot%accounts, hot%customers
	}
	j := job{at: at, service: serviceLarge, account: account, region: (account + customer) % regions}
	if rng.Float64() < strayShare {
		j.region = rng.IntN(regions)
	}
	output, question := 2+int(rng.ExpFloat64()*meanOutput), questionTokens
	if j.long = rng.Float64() < longShare; j.long {
		output, question = longOutput, longTokens
	}
	j.leaves = !j.long && rng.Float64() < abandonShare
	j.parts = []string{
		text(fmt.Sprintf("shop %d", account), shopTokens),
		text(fmt.Sprintf("guide %d %d", account, customer%guides), guideTokens),
		text(fmt.Sprintf("history %d %d", account, customer), historyTokens),
		text(fmt.Sprintf("question %d", n), question) + lengthMark + fmt.Sprint(output),
	}
	return j
}

// newCheck is the short check that tags another job.
func newCheck(rng *rand.Rand, of job, n int) job {
	return job{at: of.at, service: serviceSmall, account: of.account, region: of.region, parts: []string{
		text(fmt.Sprintf("tags %d", of.account), shopTokens),
		text(fmt.Sprintf("check %d %d", n, rng.IntN(100)), checkTokens) + lengthMark + fmt.Sprint(checkOutput)}}
}

// text returns a text of a length in tokens that no other seed shares a block with.
func text(seed string, tokens int) string {
	line := seed + "; "
	return strings.Repeat(line, tokens*bytesPerToken/len(line)+1)[:tokens*bytesPerToken]
}

// lengthMark precedes the natural length of the answer at the end of a prompt.
const lengthMark = " length "

// length returns the natural length of the answer to a prompt.
func length(prompt string) int {
	var n int
	_, _ = fmt.Sscanf(prompt[strings.LastIndex(prompt, lengthMark)+len(lengthMark):], "%d", &n)
	return n
}

// unique returns the prompt tokens that must be computed once by any policy.
func unique(jobs []job) int {
	type prefix struct {
		service string
		account int
		text    string
	}
	seen, tokens := map[prefix]bool{}, 0
	for i := range jobs {
		key := prefix{service: jobs[i].service, account: jobs[i].account}
		for _, p := range jobs[i].parts {
			key.text += p[:min(len(p), 40)] + "|"
			if !seen[key] {
				seen[key] = true
				tokens += len(p) / bytesPerToken
			}
		}
	}
	return tokens
}
