package gatewayd

// queueing reports whether requests wait in queues in an overload: if the settings say so, and
// while the configuration in force has an account with a limit.
func (p *gatewayProcess) queueing() bool {
	if p.settings.OverloadQueue != queueLimited {
		return false
	}
	c := p.gateway.Config.Current()
	return c != nil && c.HasQuotas()
}
