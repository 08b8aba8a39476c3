package route

// WithinShare reports whether the attempts in flight and the connections at every
// target fit into this VM's current share. After the share was reduced, another VM
// may use the difference only once this holds.
func (s *Shard) WithinShare() bool {
	share := &s.assigned.Share
	for _, t := range s.targets {
		if t.inFlight() > share.Slots || len(t.conns) > share.Connections {
			return false
		}
	}
	return true
}
