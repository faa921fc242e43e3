package admit

import "time"

// Crest decides which requests are taken at the crest of a swing, when more
// arrives than the endpoints can start in time. A request whose answer would
// come too late to be of use is refused at once, so that those behind it are in
// time; the most urgent ones are refused last.
type Crest struct {
	// Urgent and Other are the expected times to the first token from which
	// requests are refused, in shares of their target: of the most urgent
	// priority, and of all others.
	Urgent, Other float64
}

// unseenShare is what each other gateway adds to an expected time: its latest
// sends are not known yet when the expectation is made.
const unseenShare = 1.0 / 64

// Unseen returns an expected time corrected for the work that a number of other
// gateways may have sent meanwhile.
func Unseen(expected time.Duration, others int) time.Duration {
	return time.Duration(float64(expected) * (1 + unseenShare*float64(others)))
}

// Takes reports whether a request with a priority (0 is the most urgent) is
// taken when its first token is expected after a time.
func (c Crest) Takes(priority int, expected, target time.Duration) bool {
	share := c.Other
	if priority == 0 {
		share = c.Urgent
	}
	return target <= 0 || float64(expected) <= share*float64(target)
}
