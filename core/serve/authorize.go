package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// A request holds its key, and at each attempt the newest configuration says whose key
// that is. It runs as that workspace, which may have another name than at the admission,
// or be another one. It is charged to one workspace: the one as which it starts.

// holderOf returns the workspace that holds a key, nil if a request of the route needs
// none. It returns false if one is needed and no workspace holds the key.
func holderOf(c *catalog.Config, r *catalog.Route, key string) (*catalog.Workspace, bool) {
	if r.Public || !c.HasWorkspaces() {
		return nil, true
	}
	w := c.WorkspaceByKey(key)
	return w, w != nil
}

// authorize sets the workspace that holds the request's key, and the priority. It
// returns the refusal if a key is needed and no workspace holds it, or if the copy of
// the store is too old to tell.
func (e *Engine) authorize(now time.Time, q *query) *Answer {
	q.priority = q.route.Priority
	w, authorized := holderOf(q.config, q.route, q.request.Key)
	if w == nil && authorized {
		return nil
	}
	if q.copyAge > e.settings.MaxKeyCopyAge {
		return refusal(outcome.CodeFenced, retryAfterNotReady, "keys can't be checked: the copy of the configuration is %v old", q.copyAge.Round(time.Millisecond))
	}
	if !authorized {
		return e.refuseUnknown(q, outcome.CodeUnauthorized, "no workspace holds the key")
	}
	q.workspace, q.workspaceName = w, w.Name
	if w.HasPriority {
		q.priority = w.Priority
	}
	if ws := e.workspaces[w.Name]; ws != nil {
		ws.demand.add(now)
	}
	return nil
}

// reauthorize checks the key of an admitted query against the newest configuration, and
// sets the workspace that holds it now. It returns a refusal if none does and one is
// needed, if the copy of the store is too old to tell, or if the workspace is another
// one and over its rate. Queries that were admitted without a key, and work that another
// VM has admitted, are not checked.
func (e *Engine) reauthorize(now time.Time, q *query) *Answer {
	if q.workspace == nil {
		return nil
	}
	o := outcome.NotRun
	if q.mayHaveRun() {
		o = outcome.Unknown
	}
	if e.copyAge(now) > e.settings.MaxKeyCopyAge {
		return &Answer{Refusal: outcome.New(outcome.CodeFenced, o, "the key can't be checked any more")}
	}
	if e.config == q.config {
		return nil
	}
	route := e.config.Match(q.request.Host, q.request.Path)
	if route == nil { // dropped; the query goes on under the route that it holds
		route = q.route
	}
	w, authorized := holderOf(e.config, route, q.request.Key)
	if !authorized {
		return &Answer{Refusal: outcome.New(outcome.CodeUnauthorized, o, "the key was withdrawn")}
	}
	q.workspaceName = ""
	if w == nil {
		return nil
	}
	q.workspace, q.workspaceName = w, w.Name
	return e.transferCharge(now, q)
}

// chargeQuota takes one request from the quota of its workspace, and returns
// the refusal if none is left. It may leave the query waiting for the pool.
func (e *Engine) chargeQuota(now time.Time, q *query) *Answer {
	if q.workspace == nil {
		return nil
	}
	ws := e.workspaces[q.workspace.Name]
	if ws == nil {
		return nil
	}
	q.chargedTo = ws
	var charged bool
	if q.charge, charged = ws.take(now); charged {
		return nil
	}
	if admitted, waiting := e.askPool(now, q, ws); admitted || waiting {
		return nil
	}
	return e.refuseOverRate(now, q, ws)
}

// transferCharge charges a query to the workspace that holds its key now, if that is
// not the one that it was charged to and nothing has been sent to a target. It returns
// the refusal if that workspace is over its rate.
func (e *Engine) transferCharge(now time.Time, q *query) *Answer {
	ws := e.workspaces[q.workspace.Name]
	if ws == nil || ws == q.chargedTo || q.attempts > 0 || q.mayHaveRun() {
		return nil
	}
	moved, charged := ws.take(now)
	if !charged {
		return e.refuseOverRate(now, q, ws)
	}
	q.charge.refund()
	q.charge, q.chargedTo = moved, ws
	return nil
}
