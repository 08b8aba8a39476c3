package cli

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// workspaceKeyEnv is the environment variable that holds the workspace key. A flag
// would expose the key in the process list.
const workspaceKeyEnv = "ANVILFORK_KEY"

const queryHelp = "The workspace key is read from the environment variable " + workspaceKeyEnv + `; without it,
only services with an open route answer. A refusal exits with 1.`

// maxQueryDeadline is the upper bound of the deadline of any service.
const maxQueryDeadline = time.Minute

func runQuery(e *env, args []string) ExitCode {
	f := e.newFlags("query", "SERVICE BODY", queryHelp)
	seeds := f.String("url", "", "base `URL`s of one or more VMs, separated by commas")
	ca := f.ca()
	zone := f.String("zone", "", "availability zone of the caller; its VMs are preferred")
	deadline := f.Duration("deadline", 2*time.Second, "time within which the answer must arrive")
	minCoverage := f.Float64("least-coverage", 0, "minimum fraction of the groups that must answer")
	nonIdempotent := f.Bool("non-idempotent", false, "run at most once")
	asJSON := f.Bool("json", false, "print JSON, a refusal included")
	if code, ok := e.parse(f, args, 2); !ok {
		return code
	}
	urls, err := checkQueryFlags(*seeds, *deadline, *minCoverage)
	if err != nil {
		return e.usageError(f, err)
	}
	tlsConfig, err := loadTLSConfig(*ca)
	if err != nil {
		return e.usageError(f, err)
	}
	c := client.New(client.Options{Seeds: urls, Key: os.Getenv(workspaceKeyEnv), Zone: *zone, TLS: tlsConfig})
	defer c.Close()
	answer, err := c.Query(context.Background(), client.Request{
		Service: f.Arg(0), Body: []byte(f.Arg(1)), Deadline: *deadline, LeastCoverage: *minCoverage, NonIdempotent: *nonIdempotent,
	})
	switch {
	case err != nil:
		return e.printRefusal(err, *asJSON)
	case *asJSON:
		return e.printJSON(answer, ExitOK)
	}
	e.printAnswer(answer)
	return ExitOK
}

// FlagError reports an invalid value of a flag.
type FlagError struct {
	Flag   string
	Value  string
	Reason string
}

// Error implements error.
func (e *FlagError) Error() string {
	return fmt.Sprintf("flag -%s %q %s", e.Flag, e.Value, e.Reason)
}

// checkQueryFlags validates the flags of a query and returns the base URLs without
// trailing slashes.
func checkQueryFlags(seeds string, deadline time.Duration, minCoverage float64) ([]string, error) {
	if deadline <= 0 || deadline > maxQueryDeadline {
		return nil, &FlagError{Flag: "deadline", Value: deadline.String(), Reason: "must be above 0 and at most " + maxQueryDeadline.String()}
	}
	if !(minCoverage >= 0 && minCoverage <= 1) {
		return nil, &FlagError{Flag: "least-coverage", Value: fmt.Sprint(minCoverage), Reason: "must be from 0 to 1"}
	}
	var urls []string
	for _, s := range strings.Split(seeds, ",") {
		u, err := url.Parse(s)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return nil, &FlagError{Flag: "url", Value: s, Reason: "must be a base URL such as http://203.0.113.1:7202"}
		}
		urls = append(urls, strings.TrimSuffix(s, "/"))
	}
	return urls, nil
}

func (e *env) printAnswer(a *client.Answer) {
	fmt.Fprintf(e.stdout, "request %s, index version %d, partition map %d, coverage %d of %d groups\n",
		a.RequestID, a.IndexVersion, a.PartitionMap, a.Coverage.Answered, a.Coverage.Groups)
	if len(a.Coverage.Missing) > 0 {
		fmt.Fprintln(e.stdout, "missing:", strings.Join(a.Coverage.Missing, ", "))
	}
	for _, p := range a.Parts {
		fmt.Fprintf(e.stdout, "%s: %s\n", p.Group, p.Body)
	}
}

// refusalResult is the JSON form of a refusal, as on the caller interface.
type refusalResult struct {
	Code         string `json:"code"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// printRefusal prints why a query has no answer. An error that is not a refusal
// occurred before anything was sent.
func (e *env) printRefusal(err error, asJSON bool) ExitCode {
	refusal := &outcome.Refusal{Code: codeNoAddress, Outcome: outcome.NotRun, Reason: err.Error()}
	errors.As(err, &refusal)
	if asJSON {
		return e.printJSON(refusalResult{
			Code: string(refusal.Code), Outcome: string(refusal.Outcome), Reason: refusal.Reason,
			RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		}, ExitFailed)
	}
	fmt.Fprintf(e.stderr, "refused\n  code     %s\n  outcome  %s\n  reason   %s\n", refusal.Code, refusal.Outcome, refusal.Reason)
	if refusal.RetryAfter > 0 {
		fmt.Fprintf(e.stderr, "  retry    after %v\n", refusal.RetryAfter)
	}
	return ExitFailed
}

// codeNoAddress is the code of a query that was sent to no VM.
const codeNoAddress outcome.Code = "no_address"
