package route

// WithinShare reports whether the work and the connections at every target fit
// into this VM's present share. After a share has shrunk, another VM may use
// the rest only when this holds.
func (g *Shard) WithinShare() bool {
	share := &g.assigned.Share
	for _, t := range g.targets {
		if t.inFlight() > share.Slots || len(t.conns) > share.Connections {
			return false
		}
	}
	return true
}
