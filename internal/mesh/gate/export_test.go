package gate

// Config returns the gate's configuration, for a second gate of the same host.
func (g *Gate) Config() Config { return g.config }
