package gatewayd

import "github.com/citrontiller/citrontiller/catalog"

// queueing reports whether requests wait in queues in an overload: while the configuration
// in force has an account with a limit.
func (p *gatewayProcess) queueing() bool {
	c := p.gateway.Config.Current()
	return c != nil && hasLimits(c)
}

// hasLimits reports whether a configuration has an account with a limit. The catalog doesn't
// hold limits yet.
func hasLimits(*catalog.Config) bool { return false }
