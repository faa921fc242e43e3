package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/citrontiller/citrontiller/member"
)

// sampledEndpoints is the number of endpoints of other regions that are candidates
// for a request when a gateway doesn't receive the events of their requests. A few
// random ones suffice to find one with little load, and keep gateways from choosing
// the same one.
const sampledEndpoints = 3

// regionSplit divides the members of services into those of a gateway's region and
// all others. It is safe for concurrent use.
type regionSplit struct {
	mu sync.Mutex
	// services holds the last division by service.
	services map[string]splitMembers
}

// splitMembers is the division of a list of members.
type splitMembers struct {
	all, local, remote []member.Endpoint
}

// split returns the members of a region and a random sample of the others. A
// list that is passed again gives the same slice of local members.
func (s *regionSplit) split(service, region string, members []member.Endpoint) (local, sampled []member.Endpoint) {
	m := s.membersOf(service, region, members)
	if len(m.local) == 0 {
		return members, nil
	}
	n := min(sampledEndpoints, len(m.remote))
	sampled = make([]member.Endpoint, 0, n)
	first := rand.IntN(max(1, len(m.remote)))
	step := max(1, len(m.remote)/sampledEndpoints)
	for i := range n {
		sampled = append(sampled, m.remote[(first+i*step)%len(m.remote)])
	}
	return m.local, sampled
}

func (s *regionSplit) membersOf(service, region string, members []member.Endpoint) splitMembers {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.services[service]
	if len(m.all) == len(members) && (len(members) == 0 || &m.all[0] == &members[0]) {
		return m
	}
	m = splitMembers{all: members}
	for _, e := range members {
		if e.Region == region {
			m.local = append(m.local, e)
		} else {
			m.remote = append(m.remote, e)
		}
	}
	if s.services == nil {
		s.services = map[string]splitMembers{}
	}
	s.services[service] = m
	return m
}
