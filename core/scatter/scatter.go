// Package scatter defines the messages between the ingress of a query and the owners of
// the shards that the query fans out to, and the Deduplicator by which an owner runs a
// non-idempotent sub-request at most once.
package scatter

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// SubID identifies a sub-request within the fleet.
type SubID struct {
	Ingress fleet.VMID
	Seq     uint64
}

// SubRequest asks a shard owner to run the part of a query that concerns its shard.
type SubRequest struct {
	ID           SubID
	RequestID    fleet.RequestID
	Workspace    string
	Shard        fleet.ShardID
	PartitionMap uint64
	IndexVersion uint64 // zero asks only which index versions the shard has
	Deadline     time.Time
	Idempotent   bool
	Repeat       bool // not part of the first fan-out: a hedge, a retry or a new plan
	Isolated     bool // the ingress knows of a crash: the sub-request runs alone on a target and is not hedged
	Redelivered  bool // an earlier delivery may have arrived, so that only the owner itself may report that it did not run
	Fingerprint  fleet.Fingerprint
	Body         []byte
}

// Status is the result of a sub-request.
type Status uint8

// The results of a sub-request.
const (
	Answered            Status = iota + 1
	VersionsOnly               // the reply lists the index versions that the shard has
	VersionGone                // no replica has the index version any more; not run
	PartitionMapChanged        // the owner has another partition map; not run
	NotOwner                   // the VM does not own the shard; not run
	Refused                    // see SubReply.Refusal
)

// SubReply is an owner's reply to a SubRequest.
type SubReply struct {
	ID            SubID
	Shard         fleet.ShardID
	Status        Status
	Body          []byte
	IndexVersion  uint64
	IndexVersions []uint64 // versions that ready replicas of the shard have, newest first
	PartitionMap  uint64
	Refusal       *outcome.Refusal
	Attempts      int  // attempts started for the sub-request
	Crashes       int  // attempts that ended with a crash of the target
	Repeat        bool // copied from SubRequest.Repeat
}
