// Package region contains the scorer of the round-trip time to endpoints, id
// "scorer.region", and the scorer of the cost of traffic between regions, id
// "price.region".
package region

import "github.com/citrontiller/citrontiller/route"

const (
	// defaultRTTMs is the assumed round-trip time to another region before the first
	// measurement, in milliseconds. Regions are about 20 ms apart, and often a
	// connection must be opened first.
	defaultRTTMs = 80
	// streamBytesPerToken is the size of a streamed token with the framing of its event.
	streamBytesPerToken = 200
)

// Scorer adds the round-trip time.
type Scorer struct{}

// Score implements route.Scorer.
func (Scorer) Score(r *route.Request, endpoints []route.Endpoint, scores []float64) {
	for i := range endpoints {
		e := &endpoints[i]
		scores[i] += float64(e.RTT) / 1e6
		if e.Region != r.Region && e.RTT == 0 {
			scores[i] += defaultRTTMs
		}
	}
}

// Price adds the cost of the request and the expected response to endpoints of other
// regions, by size.
type Price struct{}

// Score implements route.Scorer.
func (Price) Score(r *route.Request, endpoints []route.Endpoint, scores []float64) {
	bytes := float64(r.Bytes) + r.OutputTokens*streamBytesPerToken
	price := bytes / (1 << 20) * r.Policy.PriceMsPerMiB
	for i := range endpoints {
		if endpoints[i].Region != r.Region {
			scores[i] += price
		}
	}
}
