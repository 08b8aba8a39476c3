package daemon

import (
	"context"
	"math/rand"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const controlInboxSize = 1024 // messages; heartbeats beyond it are dropped, the next one replaces them

// controlMsg is a message to the control task.
type controlMsg interface{ controlMsg() }

// eventMsg brings an event for the control task's state machine.
type eventMsg struct{ event control.Event }

// heartbeatMsg brings another VM's heartbeat; the state machine's answer goes to
// reply.
type heartbeatMsg struct {
	heartbeat control.Heartbeat
	reply     chan<- control.HeartbeatReply
}

// documentMsg asks for the configuration document in force, nil when there is none.
type documentMsg struct{ reply chan<- []byte }

// viewMsg asks for the newest view, nil when there is none.
type viewMsg struct{ reply chan<- *fleet.View }

// appliedMsg reports that a task has applied the shares of a generation: it runs
// nothing any more that exceeds them.
type appliedMsg struct {
	subscriber string
	generation uint64
}

type controlDumpMsg struct{ reply chan<- ControlDump }

func (eventMsg) controlMsg()       {}
func (heartbeatMsg) controlMsg()   {}
func (documentMsg) controlMsg()    {}
func (viewMsg) controlMsg()        {}
func (appliedMsg) controlMsg()     {}
func (controlDumpMsg) controlMsg() {}

// controlTask owns the control state machine, which handles configuration,
// heartbeats and the election of the coordinator, and publishes its views to the
// other tasks.
type controlTask struct {
	ctx         context.Context
	log         zerolog.Logger
	machine     *control.Machine
	replies     map[uint64]chan<- control.HeartbeatReply
	lastCall    uint64
	view        *fleet.View
	coordinator fleet.VMID // at the time of view; empty when none was known
	subscribers []viewSubscriber
	heartbeats  chan<- heartbeatTaskMsg
	platform    chan<- platformMsg
	inbox       chan controlMsg
}

// viewSubscriber is a task that receives views.
type viewSubscriber struct {
	name              string
	views             chan *fleet.View
	usesShares        bool   // the task uses shares and sends appliedMsg
	appliedGeneration uint64 // newest generation of shares that the task has applied
}

func newControlTask(ctx context.Context, self fleet.VM, seed int64, log zerolog.Logger) *controlTask {
	return &controlTask{
		ctx: ctx, log: log, machine: control.New(time.Now(), self, rand.New(rand.NewSource(seed))),
		replies: make(map[uint64]chan<- control.HeartbeatReply),
		inbox:   make(chan controlMsg, controlInboxSize),
	}
}

func (t *controlTask) run()                               { loop(t.ctx, t.inbox, nil, t) }
func (t *controlTask) next() time.Time                    { return t.machine.Next() }
func (t *controlTask) tick(now time.Time)                 { t.step(now, control.Tick{}) }
func (t *controlTask) setView(_ time.Time, _ *fleet.View) {}

func (t *controlTask) handle(now time.Time, msg controlMsg) {
	switch msg := msg.(type) {
	case eventMsg:
		t.step(now, msg.event)
	case heartbeatMsg:
		t.lastCall++
		t.replies[t.lastCall] = msg.reply
		t.step(now, control.PeerHeartbeat{Call: t.lastCall, Heartbeat: msg.heartbeat})
		delete(t.replies, t.lastCall)
	case documentMsg:
		msg.reply <- t.machine.Document()
	case viewMsg:
		msg.reply <- t.view
	case appliedMsg:
		t.recordApplied(now, msg)
	case controlDumpMsg:
		msg.reply <- t.dump(now)
	}
}

func (t *controlTask) dump(now time.Time) ControlDump {
	if t.view == nil {
		return ControlDump{}
	}
	return newControlDump(t.view, t.machine.Coordinator(now), t.machine.MissingVMs(now, t.view), now)
}

// recordApplied gives the state machine the newest generation that all tasks which use
// shares have applied.
func (t *controlTask) recordApplied(now time.Time, msg appliedMsg) {
	appliedByAll := msg.generation
	for i := range t.subscribers {
		s := &t.subscribers[i]
		if s.name == msg.subscriber {
			s.appliedGeneration = msg.generation
		}
		if s.usesShares {
			appliedByAll = min(appliedByAll, s.appliedGeneration)
		}
	}
	t.step(now, control.SharesApplied{Generation: appliedByAll})
}

// step passes an event to the state machine and executes the actions that it returns.
func (t *controlTask) step(now time.Time, ev control.Event) {
	for _, a := range t.machine.Step(now, ev) {
		t.execute(now, a)
	}
}

// publish logs what changed in the fleet and sends the view to the other tasks.
func (t *controlTask) publish(now time.Time, v *fleet.View) {
	next := fleetState{view: v, coordinator: t.machine.Coordinator(now).VM.ID}
	logChanges(t.log, fleetState{view: t.view, coordinator: t.coordinator}, next)
	t.view, t.coordinator = v, next.coordinator
	for _, s := range t.subscribers {
		offerView(s.views, v)
	}
}

func (t *controlTask) execute(now time.Time, a control.Action) {
	switch a := a.(type) {
	case control.Publish:
		t.publish(now, a.View)
	case control.SendHeartbeat:
		trySend(t.heartbeats, heartbeatTaskMsg(sendHeartbeatMsg{call: a.Call, to: a.To, heartbeat: a.Heartbeat}))
	case control.FetchDocument:
		trySend(t.heartbeats, heartbeatTaskMsg(fetchDocumentMsg{from: a.From, revision: a.Revision}))
	case control.ReadConfig:
		trySend(t.platform, platformMsg(readConfigMsg{read: a}))
	case control.ReadVMList:
		trySend(t.platform, platformMsg(readVMListMsg{}))
	case control.AnswerHeartbeat:
		if reply, ok := t.replies[a.Call]; ok {
			reply <- a.Reply
		}
	case control.ReportRejected:
		logRejected(t.log, a.Source, a.Err)
	}
}
