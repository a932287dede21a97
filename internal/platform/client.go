// Package platform talks to the platform's transactional table service, its
// object store and its list of instances. It is the only package that knows
// their protocol; others see rows, transactions and the typed errors here.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	// maxAnswerBytes bounds an answer of the platform.
	maxAnswerBytes = 64 << 20

	// absent is the version of a row that does not exist.
	absent = 0
)

var (
	// ErrConflict says that a check of a transaction failed; nothing was written.
	ErrConflict = errors.New("platform: a row has another version")

	// ErrUnavailable says that the platform did not do what was asked.
	ErrUnavailable = errors.New("platform: not available")

	// ErrUncertain says that a write may or may not have taken effect.
	ErrUncertain = errors.New("platform: the write may have taken effect")
)

type (
	// Row is one row of the table.
	Row struct {
		Key     string          `json:"key"`
		Value   json.RawMessage `json:"value,omitempty"`
		Version int             `json:"version"` // Version grows with each write of the row; 0 means absent.
	}

	// Check makes a transaction fail unless a row has this version.
	Check struct {
		Key     string `json:"key"`
		Version int    `json:"version"`
	}

	// Put writes one row; a nil value deletes it.
	Put struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value,omitempty"`
	}

	// Txn is a transaction: all checks hold and all rows are written, or nothing is.
	Txn struct {
		Checks []Check `json:"checks,omitempty"`
		Puts   []Put   `json:"puts,omitempty"`
	}

	// ConflictError names the rows whose checks failed, as they are now.
	ConflictError struct {
		Rows []Row
	}

	// Instance is one line of the platform's list, which lags behind reality.
	Instance struct {
		Name        string `json:"name"`
		PeerAddress string `json:"peer_address"`
		Leaving     bool   `json:"leaving"`
	}

	// Client calls the platform. Its methods may be called from many goroutines.
	Client struct {
		addresses []string
		http      *http.Client
		preferred atomic.Uint32

		Reads  atomic.Int64 // Reads counts read calls sent.
		Writes atomic.Int64 // Writes counts transactions sent.
	}
)

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %d rows have other versions", len(e.Rows))
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// New returns a client of the platform at these addresses; timeout bounds each call.
func New(addresses []string, timeout time.Duration) *Client {
	return &Client{
		addresses: addresses,
		http: &http.Client{
			Timeout:   timeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute},
		},
	}
}

// Get reads one row; an absent row comes with version 0.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	rows, err := c.rows(ctx, url.Values{"key": {key}})
	if err != nil {
		return Row{}, fmt.Errorf("get row %s: %w", key, err)
	}
	if len(rows) == 0 {
		return Row{Key: key, Version: absent}, nil
	}
	return rows[0], nil
}

// List reads the rows with a prefix whose keys come after a key, in key order.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := c.rows(ctx, url.Values{"prefix": {prefix}, "after": {after}, "limit": {fmt.Sprint(limit)}})
	if err != nil {
		return nil, fmt.Errorf("list rows %s: %w", prefix, err)
	}
	return rows, nil
}

// Transact runs a transaction. The error is ErrConflict or ErrUnavailable where
// nothing was written, and ErrUncertain where that is not known.
func (c *Client) Transact(ctx context.Context, txn Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return fmt.Errorf("encode transaction: %w", err)
	}
	c.Writes.Add(1)
	status, answer, err := c.call(ctx, http.MethodPost, "/v1/transact", body)
	switch {
	case err != nil && neverSent(err):
		return fmt.Errorf("send transaction: %w: %w", ErrUnavailable, err)
	case err != nil:
		return fmt.Errorf("send transaction: %w: %w", ErrUncertain, err)
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		conflict := &ConflictError{}
		if err := json.Unmarshal(answer, &conflict.Rows); err != nil {
			return fmt.Errorf("decode conflict: %w", err)
		}
		return conflict
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return fmt.Errorf("transaction refused with status %d: %w", status, ErrUnavailable)
	default:
		return fmt.Errorf("transaction answered with status %d: %w", status, ErrUncertain)
	}
}

// Instances reads the platform's list of instances, which lags behind reality.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.Reads.Add(1)
	var out []Instance
	if err := c.read(ctx, "/v1/instances", &out); err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	return out, nil
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// rows reads rows of the table.
func (c *Client) rows(ctx context.Context, query url.Values) ([]Row, error) {
	c.Reads.Add(1)
	var out []Row
	err := c.read(ctx, "/v1/rows?"+query.Encode(), &out)
	return out, err
}

// read gets a path and decodes the answer.
func (c *Client) read(ctx context.Context, path string, into any) error {
	status, answer, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d: %w", status, ErrUnavailable)
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("decode answer: %w: %w", ErrUnavailable, err)
	}
	return nil
}

// call sends one HTTP request to the address that worked last; a failure makes
// the next call try the next address.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	i := c.preferred.Load()
	address := c.addresses[int(i)%len(c.addresses)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.preferred.CompareAndSwap(i, i+1)
		return 0, nil, fmt.Errorf("call platform: %w", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read platform's answer: %w", err)
	}
	return resp.StatusCode, answer, nil
}

// neverSent reports whether a call failed before any byte could reach the platform.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
