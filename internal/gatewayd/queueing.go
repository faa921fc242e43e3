package gatewayd

// queueing reports whether requests wait in queues in an overload: while the configuration
// in force has an account with a limit.
func (p *gatewayProcess) queueing() bool {
	c := p.gateway.Config.Current()
	return c != nil && c.HasQuotas()
}
