package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/core/outcome"
)

const maxAnswerBytes = 64 << 20 // of an answer's body; a longer one is cut and fails to decode

// send sends a request to one VM and returns its answer or a refusal. The request
// carries the time left until the deadline of ctx, at least 1 ms.
func (c *Client) send(ctx context.Context, url string, r Request) (*Answer, *outcome.Refusal) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/"+r.Service+"/query", bytes.NewReader(r.Body))
	if err != nil {
		return nil, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "%v", err)
	}
	deadline, _ := ctx.Deadline()
	req.Header.Set("Anvilfork-Request-Id", r.ID)
	req.Header.Set("Anvilfork-Deadline-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	req.Header.Set("Anvilfork-Least-Coverage", strconv.FormatFloat(r.LeastCoverage, 'f', -1, 64))
	req.Header.Set("Anvilfork-Idempotent", strconv.FormatBool(!r.NonIdempotent))
	c.authorize(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, outcome.New(outcome.CodeConnectionLost, failureOutcome(err), "%v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, outcome.New(outcome.CodeConnectionLost, outcome.Unknown, "reading the answer: %v", err)
	}
	return decodeAnswer(resp.StatusCode, body)
}

// authorize adds the workspace key, if there is one.
func (c *Client) authorize(req *http.Request) {
	if c.options.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.options.Key)
	}
}

// failureOutcome returns the outcome of a request whose connection failed: it is
// not run only if no connection was made. A VM whose certificate the client
// rejects has not received the request either.
func failureOutcome(err error) outcome.Outcome {
	var op *net.OpError
	var untrusted *tls.CertificateVerificationError
	if errors.As(err, &op) && op.Op == "dial" || errors.As(err, &untrusted) {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// decodeAnswer decodes a VM's response: an answer with status 200, else a
// refusal. A response that cannot be read counts as one whose answer was lost
// after the request ran (status 200), or as one with an unknown outcome.
func decodeAnswer(status int, body []byte) (*Answer, *outcome.Refusal) {
	if status == http.StatusOK {
		var a Answer
		if err := json.Unmarshal(body, &a); err != nil {
			return nil, outcome.New(outcome.CodeConnectionLost, outcome.RanAnswerLost, "answer: %v", err)
		}
		if a.Coverage.Groups == 0 {
			return nil, outcome.New(outcome.CodeConnectionLost, outcome.RanAnswerLost, "the answer names no group")
		}
		return &a, nil
	}
	var parsed struct {
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		Reason       string `json:"reason"`
		RetryAfterMs int64  `json:"retry_after_ms"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil || parsed.Code == "" {
		return nil, outcome.New(outcome.CodeConnectionLost, outcome.Unknown, "status %d without a refusal", status)
	}
	refusal := &outcome.Refusal{
		Code: outcome.Code(parsed.Code), Outcome: outcome.Outcome(parsed.Outcome), Reason: parsed.Reason,
		RetryAfter: time.Duration(parsed.RetryAfterMs) * time.Millisecond,
	}
	if !refusal.Outcome.Valid() {
		refusal.Outcome = outcome.Unknown
	}
	return nil, refusal
}
