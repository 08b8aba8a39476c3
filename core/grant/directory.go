package grant

import (
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// maxDirectoryLog bounds the changes that a coordinator can send one by one; a
// VM that is further behind gets the whole directory.
const maxDirectoryLog = 4096

// Directory says which VM holds which home and which request-id range. It only
// routes requests: an entry may be late, and a VM without the share refuses.
type Directory struct {
	homes  map[OwnerKey]fleet.VMID
	ranges [fleet.RangeCount]fleet.VMID
	digest uint64 // exclusive or of the hashes of all entries
}

// OwnerKey names one home of a group.
type OwnerKey struct {
	Shard fleet.ShardID
	Index int
}

// OwnerEntry says which VM is a home; an empty VM removes the entry.
type OwnerEntry struct {
	OwnerKey
	VM fleet.VMID
}

// RangeEntry says which VM holds a range.
type RangeEntry struct {
	Range int
	VM    fleet.VMID
}

// DirectoryUpdate brings a directory up to date.
type DirectoryUpdate struct {
	Full   bool // replaces the directory
	Owners []OwnerEntry
	Ranges []RangeEntry
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{homes: make(map[OwnerKey]fleet.VMID)} }

// Digest identifies the content.
func (d *Directory) Digest() uint64 { return d.digest }

// Owner returns the VM that is a home of a group, empty when none is.
func (d *Directory) Owner(g fleet.ShardID, home int) fleet.VMID {
	return d.homes[OwnerKey{Shard: g, Index: home}]
}

// RangeHolder returns the VM that holds a range, empty when none does.
func (d *Directory) RangeHolder(r int) fleet.VMID { return d.ranges[r] }

// Apply takes an update.
func (d *Directory) Apply(u *DirectoryUpdate) {
	if u.Full {
		*d = *NewDirectory()
	}
	for _, e := range u.Owners {
		d.setHome(e.OwnerKey, e.VM)
	}
	for _, e := range u.Ranges {
		d.setRange(e.Range, e.VM)
	}
}

func (d *Directory) setHome(k OwnerKey, vm fleet.VMID) {
	if old := d.homes[k]; old != "" {
		d.digest ^= hashHome(k, old)
	}
	if vm == "" {
		delete(d.homes, k)
		return
	}
	d.homes[k] = vm
	d.digest ^= hashHome(k, vm)
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

// full returns an update that holds everything.
func (d *Directory) full() *DirectoryUpdate {
	u := &DirectoryUpdate{Full: true}
	for k, vm := range d.homes {
		u.Owners = append(u.Owners, OwnerEntry{OwnerKey: k, VM: vm})
	}
	slices.SortFunc(u.Owners, func(a, b OwnerEntry) int {
		if c := compareGroups(a.Shard, b.Shard); c != 0 {
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

func hashHome(k OwnerKey, vm fleet.VMID) uint64 {
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

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// directoryLog is the coordinator's directory with its latest changes.
type directoryLog struct {
	dir     *Directory
	changes []directoryChange
	index   map[uint64]int // digest before a change -> number of that change
	first   int            // number of changes[0]
}

type directoryChange struct {
	before uint64
	home   *OwnerEntry
	span   *RangeEntry
}

func newDirectoryLog() directoryLog {
	return directoryLog{dir: NewDirectory(), index: make(map[uint64]int)}
}

func (l *directoryLog) setHome(k OwnerKey, vm fleet.VMID) {
	if l.dir.homes[k] == vm {
		return
	}
	l.add(directoryChange{before: l.dir.digest, home: &OwnerEntry{OwnerKey: k, VM: vm}})
	l.dir.setHome(k, vm)
}

func (l *directoryLog) setRange(r int, vm fleet.VMID) {
	if l.dir.ranges[r] == vm {
		return
	}
	l.add(directoryChange{before: l.dir.digest, span: &RangeEntry{Range: r, VM: vm}})
	l.dir.setRange(r, vm)
}

func (l *directoryLog) add(c directoryChange) {
	l.index[c.before] = l.first + len(l.changes)
	l.changes = append(l.changes, c)
	if len(l.changes) <= maxDirectoryLog {
		return
	}
	for i, old := range l.changes[:maxDirectoryLog/2] {
		if l.index[old.before] == l.first+i {
			delete(l.index, old.before)
		}
	}
	l.changes = slices.Clone(l.changes[maxDirectoryLog/2:])
	l.first += maxDirectoryLog / 2
}

// update returns what a VM with the given digest lacks, nil when it lacks nothing.
func (l *directoryLog) update(digest uint64) *DirectoryUpdate {
	if digest == l.dir.digest {
		return nil
	}
	n, ok := l.index[digest]
	if !ok {
		return l.dir.full()
	}
	u := &DirectoryUpdate{}
	for _, c := range l.changes[n-l.first:] {
		if c.home != nil {
			u.Owners = append(u.Owners, *c.home)
		} else {
			u.Ranges = append(u.Ranges, *c.span)
		}
	}
	return u
}
