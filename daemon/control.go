package daemon

import (
	"context"
	"math/rand"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const controlInboxSize = 1024 // messages; heartbeats that find no room are dropped and come again

// controlMsg is a message to the control task.
type controlMsg interface{ controlMsg() }

type eventMsg struct{ event control.Event }

// heartbeatMsg brings another VM's heartbeat; the answer goes to reply.
type heartbeatMsg struct {
	heartbeat control.Heartbeat
	reply     chan<- control.HeartbeatReply
}

// textMsg asks for the accepted text, nil when there is none.
type textMsg struct{ reply chan<- []byte }

// viewMsg asks for the newest view, nil when there is none.
type viewMsg struct{ reply chan<- *fleet.View }

// appliedMsg tells that a task has taken the shares of a generation and that
// nothing of it runs on what they no longer contain.
type appliedMsg struct {
	viewer     string
	generation uint64
}

type controlDumpMsg struct{ reply chan<- ControlDump }

func (eventMsg) controlMsg()       {}
func (heartbeatMsg) controlMsg()   {}
func (textMsg) controlMsg()        {}
func (viewMsg) controlMsg()        {}
func (appliedMsg) controlMsg()     {}
func (controlDumpMsg) controlMsg() {}

// controlTask owns the control machine and hands its views to the other tasks.
type controlTask struct {
	ctx         context.Context
	log         zerolog.Logger
	machine     *control.Machine
	answers     map[uint64]chan<- control.HeartbeatReply
	calls       uint64
	view        *fleet.View
	coordinator fleet.VMID // when the view was made
	viewers     []viewer
	beats       chan<- beatMsg
	service     chan<- platformMsg
	inbox       chan controlMsg
}

// viewer is a task that takes views.
type viewer struct {
	name    string
	views   chan *fleet.View
	shares  bool   // it uses shares and sends appliedMsg
	applied uint64 // generation of shares that it has taken
}

func newControlTask(ctx context.Context, self fleet.VM, seed int64, log zerolog.Logger) *controlTask {
	return &controlTask{
		ctx: ctx, log: log, machine: control.New(time.Now(), self, rand.New(rand.NewSource(seed))),
		answers: make(map[uint64]chan<- control.HeartbeatReply),
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
		t.calls++
		t.answers[t.calls] = msg.reply
		t.step(now, control.PeerHeartbeat{Call: t.calls, Heartbeat: msg.heartbeat})
		delete(t.answers, t.calls)
	case textMsg:
		msg.reply <- t.machine.Document()
	case viewMsg:
		msg.reply <- t.view
	case appliedMsg:
		t.applied(now, msg)
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

// applied tells the machine when all tasks that use shares have taken a generation.
func (t *controlTask) applied(now time.Time, msg appliedMsg) {
	all := msg.generation
	for i := range t.viewers {
		v := &t.viewers[i]
		if v.name == msg.viewer {
			v.applied = msg.generation
		}
		if v.shares {
			all = min(all, v.applied)
		}
	}
	t.step(now, control.SharesApplied{Generation: all})
}

func (t *controlTask) step(now time.Time, ev control.Event) {
	for _, a := range t.machine.Step(now, ev) {
		t.do(now, a)
	}
}

// publish hands a view to the other tasks.
func (t *controlTask) publish(now time.Time, v *fleet.View) {
	next := fleetState{view: v, coordinator: t.machine.Coordinator(now).VM.ID}
	logChanges(t.log, fleetState{view: t.view, coordinator: t.coordinator}, next)
	t.view, t.coordinator = v, next.coordinator
	for _, to := range t.viewers {
		offerView(to.views, v)
	}
}

func (t *controlTask) do(now time.Time, a control.Action) {
	switch a := a.(type) {
	case control.Publish:
		t.publish(now, a.View)
	case control.SendHeartbeat:
		trySend(t.beats, beatMsg(sendBeatMsg{call: a.Call, to: a.To, heartbeat: a.Heartbeat}))
	case control.FetchDocument:
		trySend(t.beats, beatMsg(fetchTextMsg{from: a.From, revision: a.Revision}))
	case control.ReadConfig:
		trySend(t.service, platformMsg(readConfigMsg{read: a}))
	case control.ReadVMList:
		trySend(t.service, platformMsg(readVMListMsg{}))
	case control.AnswerHeartbeat:
		if reply, ok := t.answers[a.Call]; ok {
			reply <- a.Reply
		}
	case control.ReportRejected:
		logRejected(t.log, a.Source, a.Err)
	}
}
