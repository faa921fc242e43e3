// Package region scores the way to endpoints of other regions: their round trip,
// id "scorer.region", and the price of bytes between regions, id "price.region".
package region

import "github.com/citrontiller/citrontiller/route"

const (
	// defaultRTTMs is assumed for another region before the first measurement:
	// regions are about 20 ms apart, and a connection often has to be made first.
	defaultRTTMs = 80
	// streamBytesPerToken is the size of a streamed token with its event frame.
	streamBytesPerToken = 200
)

// Scorer adds the round trip.
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

// Price adds the price of bytes between regions.
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
