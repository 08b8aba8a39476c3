package metrics

// Store describes a VM's copy of the platform's store.
type Store struct {
	Era     uint64
	Outages int            // outages that this VM was the first to find ended
	Refuted int            // times that it read the store while the reads of some other VMs failed
	Rewinds int            // times that the era changed since the start of the VM
	Ignored int            // reads that were ignored because of their era
	Kept    map[string]int // entries that are kept past a rewind, by reason
}

// RecordBlocked sets the number of request contents that are blocked.
func (r *Registry) RecordBlocked(contents int) {
	r.gauge("blocked_entries", Labels{}).Update(float64(contents))
}

// RecordStore replaces the series that describe the copy of the store.
func (r *Registry) RecordStore(s Store) {
	r.gauge("store_era", Labels{}).Update(float64(s.Era))
	for name, total := range map[string]int{
		"store_outages_total": s.Outages, "store_out_of_reach_total": s.Refuted,
		"store_rewinds_total": s.Rewinds, "store_reads_ignored_total": s.Ignored,
	} {
		c := r.counter(name, Labels{})
		c.Inc(int64(total) - c.Count())
	}
	for reason := range r.keptReasons {
		if s.Kept[reason] == 0 {
			r.gauge("store_kept_entries", Labels{Code: reason}).Update(0)
		}
	}
	for reason, n := range s.Kept {
		r.keptReasons[reason] = true
		r.gauge("store_kept_entries", Labels{Code: reason}).Update(float64(n))
	}
}
