package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/anvilfork/anvilfork/internal/http1"
)

// adminKeyEnv is the environment variable that holds the admin key. A flag would
// expose the key in the process list.
const adminKeyEnv = "ANVILFORK_ADMIN_KEY"

const adminKeyHelp = "The admin key is read from the environment variable " + adminKeyEnv + "."

const (
	adminTimeout          = 5 * time.Second // above the 4 s within which a VM reports the whole fleet
	maxAdminResponseBytes = 64 << 20
	fleetPath             = "/v1/fleet"
)

// AdminError reports an admin interface that gave no usable response.
type AdminError struct {
	URL    string
	Reason string
}

// Error implements error.
func (e *AdminError) Error() string { return e.URL + ": " + e.Reason }

// adminClient reads from the admin interface of one VM.
type adminClient struct {
	url  string // base URL without a trailing slash
	key  string // admin key; empty sends none
	http *http.Client
}

// newAdminClients returns a client for each URL; all share one HTTP client. An
// empty ca selects the root certificates of this host.
func newAdminClients(urls []string, ca string) ([]*adminClient, error) {
	tlsConfig, err := loadTLSConfig(ca)
	if err != nil {
		return nil, err
	}
	// The proxies that the environment names are not used, as they would see the key.
	httpClient := &http.Client{Timeout: adminTimeout, Transport: http1.NewTransport(&http.Transport{TLSClientConfig: tlsConfig})}
	var clients []*adminClient
	for _, u := range urls {
		clients = append(clients, &adminClient{url: u, key: os.Getenv(adminKeyEnv), http: httpClient})
	}
	return clients, nil
}

// newAdminClient returns a client for a flag value that must hold one base URL.
func newAdminClient(flagValue, ca string) (*adminClient, error) {
	url, err := parseAdminURL(flagValue)
	if err != nil {
		return nil, err
	}
	clients, err := newAdminClients([]string{url}, ca)
	if err != nil {
		return nil, err
	}
	return clients[0], nil
}

// close closes the idle connections, as a VM accepts few on its admin interface.
func (c *adminClient) close() { c.http.CloseIdleConnections() }

// get returns the body of a 200 response. All errors are of type *AdminError.
func (c *adminClient) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return nil, &AdminError{URL: c.url, Reason: err.Error()}
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &AdminError{URL: c.url, Reason: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxAdminResponseBytes))
	if err != nil {
		return nil, &AdminError{URL: c.url, Reason: err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &AdminError{URL: c.url, Reason: refusalReason(resp.StatusCode, body)}
	}
	return body, nil
}

// getJSON decodes the body of a 200 response into v. All errors are of type
// *AdminError.
func (c *adminClient) getJSON(ctx context.Context, path string, v any) error {
	body, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &AdminError{URL: c.url, Reason: err.Error()}
	}
	return nil
}

// refusalReason returns the code and reason of a refusal, or the HTTP status when
// the body holds none.
func refusalReason(status int, body []byte) string {
	var r refusalResult
	if json.Unmarshal(body, &r) == nil && r.Reason != "" {
		return fmt.Sprintf("%s: %s", r.Code, r.Reason)
	}
	return fmt.Sprintf("status %d", status)
}

// parseAdminURLs returns the comma-separated base URLs of a flag, without trailing
// slashes. It rejects URLs that would send the admin key in the clear.
func parseAdminURLs(flagValue string) ([]string, error) {
	var urls []string
	for _, s := range strings.Split(flagValue, ",") {
		u, err := url.Parse(s)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return nil, &FlagError{Flag: "url", Value: s, Reason: "must be the base URL of an admin interface such as http://127.0.0.1:7400"}
		}
		if os.Getenv(adminKeyEnv) != "" && sendsInCleartext(u) {
			return nil, &FlagError{Flag: "url", Value: s, Reason: "must start with https://, as the admin key would be sent in the clear"}
		}
		urls = append(urls, strings.TrimSuffix(s, "/"))
	}
	return urls, nil
}

// parseAdminURL returns the base URL of a flag and rejects several.
func parseAdminURL(flagValue string) (string, error) {
	urls, err := parseAdminURLs(flagValue)
	if err == nil && len(urls) > 1 {
		err = &FlagError{Flag: "url", Value: flagValue, Reason: "must be one base URL"}
	}
	if err != nil {
		return "", err
	}
	return urls[0], nil
}

// reportFailure prints an error of a verb that ran.
func (e *env) reportFailure(err error) ExitCode {
	fmt.Fprintln(e.stderr, "anvilfork:", err)
	return ExitFailed
}
