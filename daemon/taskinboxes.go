package daemon

import "context"

// Names under which a dump lists tasks that did not answer.
const (
	controlTaskName = "control"
	ingressTaskName = "entry"
	ownerTaskName   = "home"
)

// taskInboxes are the inboxes of the tasks whose state operators can read.
type taskInboxes struct {
	control chan<- controlMsg
	ingress chan<- ingressMsg
	owner   chan<- ownerMsg
}

// dump queries all tasks at the same time and waits for them until ctx ends. Tasks
// that have not answered by then are listed in NotAnswering.
func (t *taskInboxes) dump(ctx context.Context) *Dump {
	control, ingress, owner := t.askControl(ctx), t.askIngress(ctx), t.askOwner(ctx)
	d := &Dump{NotAnswering: []string{}, Control: <-control, Ingress: <-ingress, Owner: <-owner}
	for _, part := range []struct {
		name    string
		missing bool
	}{{controlTaskName, d.Control == nil}, {ingressTaskName, d.Ingress == nil}, {ownerTaskName, d.Owner == nil}} {
		if part.missing {
			d.NotAnswering = append(d.NotAnswering, part.name)
		}
	}
	return d
}

func (t *taskInboxes) askControl(ctx context.Context) <-chan *ControlDump {
	return askAsync(ctx, t.control, func(reply chan<- ControlDump) controlMsg { return controlDumpMsg{reply: reply} })
}

func (t *taskInboxes) askIngress(ctx context.Context) <-chan *IngressDump {
	return askAsync(ctx, t.ingress, func(reply chan<- IngressDump) ingressMsg { return ingressDumpMsg{reply: reply} })
}

func (t *taskInboxes) askOwner(ctx context.Context) <-chan *OwnerDump {
	return askAsync(ctx, t.owner, func(reply chan<- OwnerDump) ownerMsg { return ownerDumpMsg{reply: reply} })
}

// askAsync calls ask in a goroutine of its own. The channel is closed without a
// value when the task does not answer before ctx ends.
func askAsync[M, R any](ctx context.Context, inbox chan<- M, question func(chan<- R) M) <-chan *R {
	answer := make(chan *R, 1)
	go func() {
		if r, ok := ask(ctx, inbox, question); ok {
			answer <- &r
		}
		close(answer)
	}()
	return answer
}

// ask sends a question to a task and waits for the answer until ctx ends. It
// reports whether an answer came.
func ask[M, R any](ctx context.Context, inbox chan<- M, question func(chan<- R) M) (R, bool) {
	reply := make(chan R, 1)
	send(ctx, inbox, question(reply))
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
		var zero R
		return zero, false
	}
}
