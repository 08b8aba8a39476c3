package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Table is an immutable list of VM records, sorted by id. The hub sends its
// table to the other VMs as changes against a table that they already have.
// A nil Table is empty.
type Table struct {
	vms      []VM
	checksum uint64
}

// NewTable returns a table of the records. Of several records with the same id it
// keeps the first.
func NewTable(vms []VM) *Table {
	sorted := slices.Clone(vms)
	slices.SortStableFunc(sorted, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b VM) bool { return a.ID == b.ID })
	t := &Table{vms: sorted}
	for i := range sorted {
		t.checksum ^= recordChecksum(&sorted[i])
	}
	return t
}

// recordChecksum returns the hash of one record. The checksum of a table is the
// exclusive or of those of its records.
func recordChecksum(vm *VM) uint64 {
	h := fnv.New64a()
	for _, field := range []string{string(vm.ID), vm.Zone, vm.PeerURL, vm.CallerURL, string(vm.State)} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// VMs returns the records, which the caller must not modify.
func (t *Table) VMs() []VM {
	if t == nil {
		return nil
	}
	return t.vms
}

// Checksum returns a hash of the content; zero for an empty table.
func (t *Table) Checksum() uint64 {
	if t == nil {
		return 0
	}
	return t.checksum
}

// Find returns the record with the given id.
func (t *Table) Find(id VMID) (VM, bool) {
	vms := t.VMs()
	i, ok := slices.BinarySearchFunc(vms, id, func(vm VM, id VMID) int { return cmp.Compare(vm.ID, id) })
	if !ok {
		return VM{}, false
	}
	return vms[i], true
}

// TableChange turns the table with checksum BaseChecksum into the one with
// checksum Checksum. A BaseChecksum of zero starts from an empty table.
type TableChange struct {
	BaseChecksum uint64
	Checksum     uint64
	Changed      []VM // new or changed records
	Removed      []VMID
}

// Diff returns the change that turns one table into another.
func Diff(from, to *Table) TableChange {
	c := TableChange{BaseChecksum: from.Checksum(), Checksum: to.Checksum()}
	for _, vm := range to.VMs() {
		if old, ok := from.Find(vm.ID); !ok || old != vm {
			c.Changed = append(c.Changed, vm)
		}
	}
	for _, vm := range from.VMs() {
		if _, ok := to.Find(vm.ID); !ok {
			c.Removed = append(c.Removed, vm.ID)
		}
	}
	return c
}

// Apply returns the table after a change. It returns false if the change is based
// on another table or the result does not have the announced checksum.
func (t *Table) Apply(c TableChange) (*Table, bool) {
	if c.BaseChecksum != 0 && c.BaseChecksum != t.Checksum() {
		return nil, false
	}
	vms := slices.Clone(c.Changed)
	if c.BaseChecksum != 0 {
		for _, vm := range t.VMs() {
			if !slices.Contains(c.Removed, vm.ID) {
				vms = append(vms, vm)
			}
		}
	}
	next := NewTable(vms)
	return next, next.checksum == c.Checksum
}
