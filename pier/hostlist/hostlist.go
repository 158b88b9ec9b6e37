// Package hostlist reads the platform's lagging list of live and leaving hosts.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"mulberrypier.example/pier/outcome"
)

const (
	readLimit = 2 * time.Second
	bodyLimit = 8 << 20
)

// Host is one line of the list.
type Host struct {
	Address netip.AddrPort `json:"address"`
	// Leaving tells that the platform is about to take the host away. The list
	// names entry hosts and backend servers alike.
	Leaving bool `json:"leaving"`
}

// List is the answer to a read.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Config constructs a Client.
type Config struct {
	Address netip.AddrPort
}

// Client reads the list.
type Client struct {
	c    Config
	http *http.Client
}

// New returns a client of the list at an address.
func New(c Config) *Client {
	return &Client{c: c, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Read returns the list. Errors are *outcome.Error with the reason unreachable.
func (c *Client) Read(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.c.Address.String()+"/v1/hosts", nil)
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	a, err := c.http.Do(q)
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonUnreachable, err.Error())
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return nil, outcome.Refuse(outcome.ReasonUnreachable, a.Status)
	}
	var l List
	if err := json.NewDecoder(io.LimitReader(a.Body, bodyLimit)).Decode(&l); err != nil {
		return nil, outcome.Refuse(outcome.ReasonUnreachable, err.Error())
	}
	return l.Hosts, nil
}
