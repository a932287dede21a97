//go:build review

package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"
)

type (
	// Answer is what a client got for one attempt. Status 0 means no complete answer.
	Answer struct {
		ID, Address string
		Status      int
		Header      http.Header
		Body        []byte
		Err         error
		Sent, Ended time.Time
	}

	// Clients ask the directory and send requests as the pages tell it.
	Clients struct {
		Nodes []*Node
		Host  string
		http  *http.Client

		mu        sync.Mutex
		addresses []string
		askedAt   time.Time
	}
)

// NewClients returns clients of a host.
func NewClients(host string, nodes []*Node) *Clients {
	return &Clients{Nodes: nodes, Host: host, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// NewID returns the id of an attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// entries returns the addresses that the directory names, at most two seconds old.
func (c *Clients) entries() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.askedAt) < 2*time.Second && len(c.addresses) > 0 {
		return c.addresses
	}
	for _, i := range rand.Perm(len(c.Nodes))[:min(3, len(c.Nodes))] {
		n := c.Nodes[i]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		q := url.Values{"name": {c.Host}, "region": {"region"}, "zone": {n.Hall}}
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Directory+"/-/resolve?"+q.Encode(), nil)
		resp, err := c.http.Do(req)
		var doc struct {
			Addresses []string `json:"addresses"`
		}
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&doc)
			resp.Body.Close()
		}
		cancel()
		if err == nil && len(doc.Addresses) > 0 {
			c.addresses, c.askedAt = doc.Addresses, time.Now()
			break
		}
	}
	return c.addresses
}

// Entry returns an entry address by chance; empty if none is known.
func (c *Clients) Entry() string {
	all := c.entries()
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}

// Send sends one attempt to an address and reads the whole answer.
func (c *Clients) Send(address, method, path, id string, deadline time.Duration, header map[string]string, body []byte) Answer {
	a := Answer{ID: id, Address: address, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		a.Err, a.Ended = err, time.Now()
		return a
	}
	req.Host = c.Host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err == nil {
		a.Header = resp.Header
		a.Body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	a.Err, a.Ended = err, time.Now()
	if err == nil {
		a.Status = resp.StatusCode
	}
	return a
}
