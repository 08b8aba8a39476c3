// Package scatter defines the messages between the entry VM of a query and the
// home VMs of the groups that the query fans out to.
package scatter

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// SubID identifies a sub-request together with its entry VM.
type SubID struct {
	Ingress fleet.VMID
	Seq     uint64
}

// SubRequest asks a home VM to run the part of a query that concerns one group.
type SubRequest struct {
	ID           SubID
	Request      fleet.RequestID
	Workspace    string
	Shard        fleet.ShardID
	PartitionMap uint64
	IndexVersion uint64 // zero asks only which index versions the group has
	Deadline     time.Time
	Idempotent   bool
	Repeat       bool // not part of the first fan-out: a hedge, a retry or a new plan
	Isolated     bool // the entry knows of a crash: runs alone on a target, never as part of a hedge
	Redelivered  bool // an earlier delivery may have arrived, so that only its home may say that it did not run
	Fingerprint  fleet.Fingerprint
	Body         []byte
}

// Status is the result of a sub-request.
type Status uint8

// The results of a sub-request.
const (
	Answered            Status = iota + 1
	VersionsOnly               // the reply lists the index versions that the group has
	VersionGone                // no replica has the index version any more; not run
	PartitionMapChanged        // the home has another partition map; not run
	NotOwner                   // the VM is not a home of the group; not run
	Refused                    // see SubReply.Refusal
)

// SubReply answers a SubRequest.
type SubReply struct {
	ID            SubID
	Shard         fleet.ShardID
	Status        Status
	Body          []byte
	IndexVersion  uint64
	IndexVersions []uint64 // versions that ready replicas of the group have, newest first
	PartitionMap  uint64
	Refusal       *outcome.Refusal
	Attempts      int  // attempts started for the sub-request
	Crashes       int  // attempts that ended with a crash of the target
	Repeat        bool // copied from the request
}
