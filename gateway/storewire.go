package gateway

import (
	"google.golang.org/protobuf/proto"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/mirror"
	"github.com/anvilfork/anvilfork/metrics"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// outlives returns the decision which entries are kept past a rewind of the store.
// Entries that can't be read are logged when they are published.
func outlives(s Store) mirror.Outlives {
	return func(past, present mirror.Entry, written bool) mirror.Reason {
		before, _ := s.Decode(past)
		now, _ := s.Decode(present)
		return catalog.Outlives(before, now, written)
	}
}

// storeMetrics returns the state of the copy of the store as it is recorded.
func storeMetrics(s *mesh.StoreState) metrics.Store {
	m := metrics.Store{Era: s.Era, Outages: s.Outages, Refuted: s.Refuted, Rewinds: s.Rewinds, Ignored: s.Ignored, Kept: make(map[string]int, len(s.Kept))}
	for reason, n := range s.Kept {
		m.Kept[string(reason)] = n
	}
	return m
}

// encodeEra returns nil if no era is stated, as by VMs of earlier versions.
func encodeEra(stated bool, era uint64) *uint64 {
	if !stated {
		return nil
	}
	return proto.Uint64(era)
}

func encodeUpdate(u *mirror.Update) *peer.MeshUpdate {
	m := &peer.MeshUpdate{Complete: u.Full, AsOf: u.Revision, Era: u.Era, EraStart: u.EraStart}
	for _, e := range u.Entries {
		m.Entries = append(m.Entries, &peer.MeshEntry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	return m
}

// decodeUpdate decodes an update, whose entries are of its era.
func decodeUpdate(encoded []byte) (*mirror.Update, error) {
	var m peer.MeshUpdate
	if err := inflate(encoded, &m); err != nil {
		return nil, err
	}
	u := &mirror.Update{Full: m.GetComplete(), Era: m.GetEra(), Revision: m.GetAsOf(), EraStart: m.GetEraStart()}
	for _, e := range m.GetEntries() {
		u.Entries = append(u.Entries, mirror.Entry{Key: e.GetKey(), Value: e.GetValue(), Era: u.Era, Revision: e.GetRevision(), Deleted: e.GetDeleted()})
	}
	return u, nil
}

func encodeKnown(k mirror.Known) []*peer.MeshVersion {
	var out []*peer.MeshVersion
	for _, v := range k {
		out = append(out, &peer.MeshVersion{Era: v.Era, Revision: v.Revision})
	}
	return out
}

// decodeKnown decodes versions of earlier eras, in whichever order they are.
func decodeKnown(all []*peer.MeshVersion) mirror.Known {
	var k mirror.Known
	for _, v := range all {
		k = k.With(mirror.Version{Era: v.GetEra(), Revision: v.GetRevision()})
	}
	return k
}

func encodePast(p *mirror.Past) *peer.MeshPast {
	m := &peer.MeshPast{}
	for _, e := range p.Entries {
		m.Entries = append(m.Entries, &peer.MeshEntry{Key: e.Key, Value: e.Value, Era: e.Era, Revision: e.Revision, Deleted: e.Deleted})
	}
	return m
}

// decodePast decodes the past entries of a VM that knows this much of earlier eras; nil
// if it sent none.
func decodePast(encoded []byte, known mirror.Known) (*mirror.Past, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	var m peer.MeshPast
	if err := inflate(encoded, &m); err != nil {
		return nil, err
	}
	p := &mirror.Past{Known: known}
	for _, e := range m.GetEntries() {
		p.Entries = append(p.Entries, mirror.Entry{Key: e.GetKey(), Value: e.GetValue(), Era: e.GetEra(), Revision: e.GetRevision(), Deleted: e.GetDeleted()})
	}
	return p, nil
}
