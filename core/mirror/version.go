package mirror

import "cmp"

// Version is a state of the store. The store's era increases each time that it returns
// from an older copy, after which its revisions go back and are used again.
type Version struct {
	Era      uint64 // zero when it is not known
	Revision uint64
}

// Compare returns -1, 0 or 1 if v is older than, the same as or newer than o.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Revision, o.Revision))
}

// Before reports whether v is older than o.
func (v Version) Before(o Version) bool { return v.Compare(o) < 0 }

// IsZero reports whether v is the version of an empty copy.
func (v Version) IsZero() bool { return v == Version{} }

// Version returns the version of the entry's last change.
func (e *Entry) Version() Version { return Version{Era: e.Era, Revision: e.Revision} }

// Version returns the version of the store that the update leads to.
func (u *Update) Version() Version { return Version{Era: u.Era, Revision: u.Revision} }
