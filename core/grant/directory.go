package grant

import (
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// maxDirectoryLog bounds the changes that the coordinator keeps. A VM that is
// further behind gets the whole directory.
const maxDirectoryLog = 4096

// Directory maps shard owners and request-id ranges to the VMs that hold them.
// It only routes requests: an entry may be outdated, and a VM without the share
// refuses the request.
type Directory struct {
	owners map[OwnerKey]fleet.VMID
	ranges [fleet.RangeCount]fleet.VMID
	digest uint64 // XOR of the hashes of all entries
}

// OwnerKey identifies one owner of a shard: index 0 is the primary, 1 the
// secondary owner.
type OwnerKey struct {
	Shard fleet.ShardID
	Index int
}

// OwnerEntry maps an owner of a shard to a VM; an empty VM removes the entry.
type OwnerEntry struct {
	OwnerKey
	VM fleet.VMID
}

// RangeEntry maps a request-id range to the VM that holds it.
type RangeEntry struct {
	Range int
	VM    fleet.VMID
}

// DirectoryUpdate is a set of entries to apply to a Directory.
type DirectoryUpdate struct {
	Full   bool // replaces all entries
	Owners []OwnerEntry
	Ranges []RangeEntry
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{owners: make(map[OwnerKey]fleet.VMID)} }

// Digest returns a hash of the content. Directories with equal digests are taken
// to be equal.
func (d *Directory) Digest() uint64 { return d.digest }

// Owner returns the VM that is the owner of a shard with the given index, empty
// when there is none.
func (d *Directory) Owner(shard fleet.ShardID, index int) fleet.VMID {
	return d.owners[OwnerKey{Shard: shard, Index: index}]
}

// RangeHolder returns the VM that holds a range, empty when there is none.
func (d *Directory) RangeHolder(r int) fleet.VMID { return d.ranges[r] }

// Apply applies an update.
func (d *Directory) Apply(u *DirectoryUpdate) {
	if u.Full {
		*d = *NewDirectory()
	}
	for _, e := range u.Owners {
		d.setOwner(e.OwnerKey, e.VM)
	}
	for _, e := range u.Ranges {
		d.setRange(e.Range, e.VM)
	}
}

func (d *Directory) setOwner(k OwnerKey, vm fleet.VMID) {
	if old := d.owners[k]; old != "" {
		d.digest ^= hashOwner(k, old)
	}
	if vm == "" {
		delete(d.owners, k)
		return
	}
	d.owners[k] = vm
	d.digest ^= hashOwner(k, vm)
}

func (d *Directory) setRange(r int, vm fleet.VMID) {
	if old := d.ranges[r]; old != "" {
		d.digest ^= hashStrings("range", strconv.Itoa(r), string(old))
	}
	d.ranges[r] = vm
	if vm != "" {
		d.digest ^= hashStrings("range", strconv.Itoa(r), string(vm))
	}
}

// fullUpdate returns an update that replaces any directory by this one.
func (d *Directory) fullUpdate() *DirectoryUpdate {
	u := &DirectoryUpdate{Full: true}
	for k, vm := range d.owners {
		u.Owners = append(u.Owners, OwnerEntry{OwnerKey: k, VM: vm})
	}
	slices.SortFunc(u.Owners, func(a, b OwnerEntry) int {
		if c := compareShards(a.Shard, b.Shard); c != 0 {
			return c
		}
		return a.Index - b.Index
	})
	for r, vm := range d.ranges {
		if vm != "" {
			u.Ranges = append(u.Ranges, RangeEntry{Range: r, VM: vm})
		}
	}
	return u
}

func hashOwner(k OwnerKey, vm fleet.VMID) uint64 {
	return hashStrings(k.Shard.Service, k.Shard.Shard, strconv.Itoa(k.Index), string(vm))
}

func hashStrings(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64, which spreads the bits of a hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// directoryLog is the coordinator's directory with its latest changes, at most
// maxDirectoryLog.
type directoryLog struct {
	current        *Directory
	changes        []directoryChange
	changeByDigest map[uint64]int // number of the change that follows a digest
	firstChange    int            // number of changes[0]; changes are numbered from 0 on
}

// directoryChange is a changed entry; one of owner and idRange is set.
type directoryChange struct {
	before  uint64 // digest before the change
	owner   *OwnerEntry
	idRange *RangeEntry
}

func newDirectoryLog() directoryLog {
	return directoryLog{current: NewDirectory(), changeByDigest: make(map[uint64]int)}
}

func (l *directoryLog) setOwner(k OwnerKey, vm fleet.VMID) {
	if l.current.owners[k] == vm {
		return
	}
	l.add(directoryChange{before: l.current.digest, owner: &OwnerEntry{OwnerKey: k, VM: vm}})
	l.current.setOwner(k, vm)
}

func (l *directoryLog) setRange(r int, vm fleet.VMID) {
	if l.current.ranges[r] == vm {
		return
	}
	l.add(directoryChange{before: l.current.digest, idRange: &RangeEntry{Range: r, VM: vm}})
	l.current.setRange(r, vm)
}

// add appends a change and drops the older half of the changes when there are
// too many.
func (l *directoryLog) add(c directoryChange) {
	l.changeByDigest[c.before] = l.firstChange + len(l.changes)
	l.changes = append(l.changes, c)
	if len(l.changes) <= maxDirectoryLog {
		return
	}
	for i, old := range l.changes[:maxDirectoryLog/2] {
		if l.changeByDigest[old.before] == l.firstChange+i {
			delete(l.changeByDigest, old.before)
		}
	}
	l.changes = slices.Clone(l.changes[maxDirectoryLog/2:])
	l.firstChange += maxDirectoryLog / 2
}

// update returns the changes since the given digest, the whole directory when
// the digest is unknown, or nil when the digest is current.
func (l *directoryLog) update(digest uint64) *DirectoryUpdate {
	if digest == l.current.digest {
		return nil
	}
	n, ok := l.changeByDigest[digest]
	if !ok {
		return l.current.fullUpdate()
	}
	u := &DirectoryUpdate{}
	for _, c := range l.changes[n-l.firstChange:] {
		if c.owner != nil {
			u.Owners = append(u.Owners, *c.owner)
		} else {
			u.Ranges = append(u.Ranges, *c.idRange)
		}
	}
	return u
}
