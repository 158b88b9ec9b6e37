// Package hostlist implements a client of the platform's list of live and leaving
// hosts. The list lags behind the actual state of the hosts.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/outcome"
)

const (
	readTimeout  = 2 * time.Second
	maxBodyBytes = 8 << 20
)

// Host is one entry of the list: an entry host or a backend server.
type Host struct {
	Address netip.AddrPort `json:"address"`
	// Leaving reports that the platform is about to remove the host.
	Leaving bool `json:"leaving"`
}

// List is the answer to a request for the list.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Config configures a Client.
type Config struct {
	// Address is the address of the service that publishes the list.
	Address netip.AddrPort
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	c    Config
	http *http.Client
}

// New returns a client that opens a new connection for each read.
func New(c Config) *Client {
	return &Client{c: c, http: &http.Client{Transport: answerhead.NewTransport(&http.Transport{DisableKeepAlives: true})}}
}

// Read returns the entries of the list. It takes at most readTimeout. An error is an
// *outcome.Error, with the reason unreachable unless the request could not be built.
func (c *Client) Read(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
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
	if err := json.NewDecoder(io.LimitReader(a.Body, maxBodyBytes)).Decode(&l); err != nil {
		return nil, outcome.Refuse(outcome.ReasonUnreachable, err.Error())
	}
	return l.Hosts, nil
}
