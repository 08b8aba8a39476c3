package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	listTimeout        = time.Second            // of a request for the address list
	defaultListTTL     = time.Second            // of an address list that states none
	refreshRetryDelay  = 100 * time.Millisecond // after a failed refresh
	maxListBytes       = 1 << 20
	maxFormerAddresses = 16 // addresses of earlier lists that are kept; the oldest are dropped
)

// NoAddressError is the error of Query when no VM gave an address list. No attempt
// of the query has run.
type NoAddressError struct {
	Seeds []string // Options.Seeds
	Last  error    // error of the VM that was contacted last; nil without seeds
}

// Error implements error.
func (e *NoAddressError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("no VM of %v gave an address list", e.Seeds)
	}
	return fmt.Sprintf("no VM of %v gave an address list: %v", e.Seeds, e.Last)
}

// Unwrap returns Last.
func (e *NoAddressError) Unwrap() error { return e.Last }

// AddressListError reports that a VM answered the request for the address list
// with something else, or with an empty list.
type AddressListError struct {
	URL    string // base URL of the VM
	Status int    // HTTP status of its answer
}

// Error implements error.
func (e *AddressListError) Error() string {
	return fmt.Sprintf("%s answered with status %d and no address list", e.URL, e.Status)
}

// address is a VM that accepts requests of callers.
type address struct {
	URL   string `json:"url"`
	Zone  string `json:"zone"`
	Spare bool   `json:"spare"` // to be used only when no other address of the list answers
}

// addressList is a list of VMs with its expiry. An expired list stays in use
// while one goroutine fetches the next.
type addressList struct {
	addresses  []address
	former     []address // of earlier lists and the seeds; used last
	expires    time.Time // local time
	refreshing bool      // a goroutine fetches the next list
}

// pick returns the base URL of a random VM that is not marked in failed. It
// prefers the caller's zone, then other zones, then spare addresses, then former
// ones and seeds. If all are marked, it picks any address of the list.
func (c *Client) pick(ctx context.Context, failed map[string]bool) (string, error) {
	current, err := c.currentList(ctx)
	if err != nil {
		return "", err
	}
	var sameZone, otherZone, spare, former []string
	for _, a := range current.addresses {
		switch {
		case failed[a.URL]:
		case a.Spare:
			spare = append(spare, a.URL)
		case a.Zone == c.options.Zone:
			sameZone = append(sameZone, a.URL)
		default:
			otherZone = append(otherZone, a.URL)
		}
	}
	for _, a := range current.former {
		if !failed[a.URL] {
			former = append(former, a.URL)
		}
	}
	for _, urls := range [][]string{sameZone, otherZone, spare, former} {
		if len(urls) > 0 {
			return urls[mathrand.IntN(len(urls))], nil
		}
	}
	return current.addresses[mathrand.IntN(len(current.addresses))].URL, nil
}

// currentList returns the address list. It fetches the first one and starts a
// refresh of an expired one in the background. While the first list is fetched,
// other callers wait.
func (c *Client) currentList(ctx context.Context) (addressList, error) {
	var current addressList
	select {
	case current = <-c.lists:
	case <-ctx.Done():
		return addressList{}, ctx.Err()
	}
	if len(current.addresses) == 0 {
		next, err := c.refresh(ctx, current)
		c.lists <- next
		if err != nil {
			return addressList{}, err
		}
		return next, nil
	}
	if !current.refreshing && !time.Now().Before(current.expires) {
		current.refreshing = true
		go c.refreshInBackground(current)
	}
	c.lists <- current
	return current, nil
}

// refreshInBackground replaces an expired list while requests go on using it.
// After a failure the old list stays, and the next refresh follows after
// refreshRetryDelay.
func (c *Client) refreshInBackground(old addressList) {
	next, err := c.refresh(context.Background(), old)
	<-c.lists
	if err != nil {
		next.expires = time.Now().Add(refreshRetryDelay)
	}
	next.refreshing = false
	c.lists <- next
}

// refresh fetches a new list from the first VM that gives one: the addresses of
// the old list, then the seeds. If none does, it returns the old list with the
// error.
func (c *Client) refresh(ctx context.Context, old addressList) (addressList, error) {
	urls := make([]string, 0, len(old.addresses)+len(c.options.Seeds))
	for _, a := range old.addresses {
		urls = append(urls, a.URL)
	}
	var lastErr error
	for _, url := range append(urls, c.options.Seeds...) {
		next, err := c.fetchList(ctx, url)
		if err == nil {
			next.former = c.formerAddresses(old, next)
			return next, nil
		}
		lastErr = err
	}
	return old, errors.WithStack(&NoAddressError{Seeds: c.options.Seeds, Last: lastErr})
}

// formerAddresses returns the addresses of older lists and the seeds that a new
// list lacks. They are kept because a VM that is partitioned from others lists
// only the VMs on its own side.
func (c *Client) formerAddresses(old, next addressList) []address {
	known := append(slices.Clone(old.addresses), old.former...)
	for _, url := range c.options.Seeds {
		known = append(known, address{URL: url})
	}
	var former []address
	for _, a := range known {
		sameURL := func(b address) bool { return b.URL == a.URL }
		if len(former) < maxFormerAddresses && !slices.ContainsFunc(next.addresses, sameURL) && !slices.ContainsFunc(former, sameURL) {
			former = append(former, a)
		}
	}
	return former
}

// fetchList requests the address list from one VM.
func (c *Client) fetchList(ctx context.Context, url string) (addressList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/addresses", nil)
	if err != nil {
		return addressList{}, err
	}
	c.authorize(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return addressList{}, err
	}
	defer resp.Body.Close()
	// Read the whole body, so that the connection can be reused.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	var parsed struct {
		Addresses []address `json:"addresses"`
		TTLMs     int64     `json:"ttl_ms"`
	}
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &parsed) != nil || len(parsed.Addresses) == 0 {
		return addressList{}, &AddressListError{URL: url, Status: resp.StatusCode}
	}
	ttl := time.Duration(parsed.TTLMs) * time.Millisecond
	if ttl <= 0 {
		ttl = defaultListTTL
	}
	return addressList{addresses: parsed.Addresses, expires: time.Now().Add(ttl)}, nil
}
