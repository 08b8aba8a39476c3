package daemon

import "github.com/anvilfork/anvilfork/core/fleet"

// Names of the tasks that use shares, in appliedMsg.
const (
	ingressSubscriber = "entry"
	ownerSubscriber   = "home"
	ledgerSubscriber  = "once"
)

// reportApplied reports to the control task that a task has applied the shares of a
// view. When the inbox is full the message is dropped; the report after the next
// view covers it.
func reportApplied(control chan<- controlMsg, subscriber string, v *fleet.View) {
	trySend(control, controlMsg(appliedMsg{subscriber: subscriber, generation: v.Generation}))
}
