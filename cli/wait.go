package cli

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/anvilfork/anvilfork/daemon"
)

const (
	waitPollInterval   = 100 * time.Millisecond
	defaultWaitTimeout = 30 * time.Second
)

const waitHelp = "Returns when every VM of the fleet reports the revision or a newer one; exits with 1 when\n" +
	"the timeout expires first. Each VM in -url collects the state of all others.\n" + adminKeyHelp

// RevisionError reports an operand that is not a revision number.
type RevisionError struct{ Text string }

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %q must be a whole number above 0", e.Text)
}

func runWait(e *env, args []string) ExitCode {
	f := e.newFlags("wait", "REVISION", waitHelp)
	baseURLs := f.String("url", "", "base `URL`s of the admin interfaces of one or more VMs, separated by commas")
	ca := f.ca()
	timeout := f.Duration("timeout", defaultWaitTimeout, "maximum time to wait")
	if code, ok := e.parse(f, moveOperandLast(f, args), 1); !ok {
		return code
	}
	urls, err := parseAdminURLs(*baseURLs)
	if err != nil {
		return e.usageError(f, err)
	}
	clients, err := newAdminClients(urls, *ca)
	if err != nil {
		return e.usageError(f, err)
	}
	revision, err := strconv.ParseUint(f.Arg(0), 10, 64)
	if err != nil || revision == 0 {
		return e.usageError(f, &RevisionError{Text: f.Arg(0)})
	}
	if *timeout <= 0 {
		return e.usageError(f, &FlagError{Flag: "timeout", Value: timeout.String(), Reason: "must be above 0"})
	}
	defer clients[0].close() // all clients share one HTTP client
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	return e.waitForRevision(ctx, clients, revision)
}

// moveOperandLast moves the first operand after the flags that follow it, as
// package flag stops at the first operand.
func moveOperandLast(f *verbFlags, args []string) []string {
	if f.Parse(args) != nil || f.NArg() < 2 {
		return args
	}
	return slices.Concat(args[:len(args)-f.NArg()], f.Args()[1:], f.Args()[:1])
}

// waitForRevision polls the fleet until the revision is in force on all VMs or ctx
// ends. It prints the progress to standard error each time it changes.
func (e *env) waitForRevision(ctx context.Context, clients []*adminClient, revision uint64) ExitCode {
	start := time.Now()
	var lastRollout rollout
	lastLine := ""
	for {
		r := assessRollout(fetchFleets(ctx, clients), revision)
		if r.inForce() {
			fmt.Fprintf(e.stdout, "%v after %v\n", r.progress(), time.Since(start).Round(time.Millisecond))
			return ExitOK
		}
		if ctx.Err() == nil { // the end of ctx cuts off the responses of the last poll
			lastRollout = r
			if line := r.String(); line != lastLine {
				fmt.Fprintln(e.stderr, line)
				lastLine = line
			}
		}
		select {
		case <-ctx.Done():
			fmt.Fprintln(e.stderr, "anvilfork:", lastRollout.timeoutText())
			return ExitFailed
		case <-time.After(waitPollInterval):
		}
	}
}

// fleetResponse is the state of the fleet as one VM collected it, or the error that
// reading it from this VM gave.
type fleetResponse struct {
	dump daemon.FleetDump
	err  error
}

// fetchFleets reads the state of the fleet from all clients in parallel. The
// responses are in order of arrival.
func fetchFleets(ctx context.Context, clients []*adminClient) []fleetResponse {
	responses := make(chan fleetResponse, len(clients))
	for _, c := range clients {
		go func() {
			var r fleetResponse
			r.err = c.getJSON(ctx, fleetPath, &r.dump)
			responses <- r
		}()
	}
	all := make([]fleetResponse, len(clients))
	for i := range all {
		all[i] = <-responses
	}
	return all
}
