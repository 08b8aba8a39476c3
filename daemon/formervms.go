package daemon

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

const formerVMTTL = 10 * time.Second // longer than most queries

// formerVMs are the VMs that left the view within formerVMTTL. A VM leaves the view
// when nothing was received from or about it for 2 s, but it may still wait for an
// answer: when only the link between two VMs is cut, each learns of the other from
// third VMs, but with gaps.
type formerVMs map[fleet.VMID]formerVM

type formerVM struct {
	vm      fleet.VM
	expires time.Time
}

// update adds the VMs that are in old but not in next, and removes those that
// expired or came back. old is nil before the first view.
func (f formerVMs) update(now time.Time, old, next *fleet.View) {
	current := make(map[fleet.VMID]bool, len(next.VMs))
	for _, vm := range next.VMs {
		current[vm.ID] = true
	}
	if old != nil {
		for _, vm := range old.VMs {
			if !current[vm.ID] {
				f[vm.ID] = formerVM{vm: vm, expires: now.Add(formerVMTTL)}
			}
		}
	}
	for id, former := range f {
		if current[id] || !now.Before(former.expires) {
			delete(f, id)
		}
	}
}

func (f formerVMs) vm(id fleet.VMID) (fleet.VM, bool) {
	former, ok := f[id]
	return former.vm, ok
}

// isAnswer reports whether a message answers an earlier one of its receiver.
func isAnswer(msg peerMsg) bool {
	switch msg.(type) {
	case sendReplyMsg, sendClaimAnswerMsg:
		return true
	}
	return false
}

// splitAnswers separates answers from sub-requests, claims and other work.
func splitAnswers(items []outboxItem) (answers, work []outboxItem) {
	for _, item := range items {
		if isAnswer(item.msg) {
			answers = append(answers, item)
		} else {
			work = append(work, item)
		}
	}
	return answers, work
}
