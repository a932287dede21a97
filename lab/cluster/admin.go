package cluster

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/admin"
	"github.com/croftturn/croftturn/internal/config"
)

// Apply gives the cluster its configuration through the first node.
func (c *Cluster) Apply(ctx context.Context) error {
	text, err := json.Marshal(c.Configuration())
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	_, err = c.call(ctx, c.Nodes[0], "/admin/v1/configuration?change_id="+NewID(), text, OperatorToken)
	return err
}

// Configuration returns the demonstration's configuration with the cluster's
// engines, altered as the options say.
func (c *Cluster) Configuration() *config.Config {
	out := &config.Config{
		Classes: []config.Class{
			{Name: "confirm", Tier: 1, FirstTokenMs: 380, MaxWaitMs: 2000},
			{Name: "offer", Tier: 2, FirstTokenMs: 2000, MaxWaitMs: 10000, MinShare: 0.1, NotRepeatable: true},
			{Name: "explain", Tier: 3, FirstTokenMs: 5000, MaxWaitMs: 60000, MinShare: 0.1},
			{Name: "submit", Tier: 1, TotalMs: 500, MaxWaitMs: 2000, NotRepeatable: true},
		},
		Pools: []config.Pool{
			{Name: "llm", Kind: config.PoolKindModel, Models: []string{"desk-1"}},
			{Name: "bids", Kind: config.PoolKindService},
		},
		Operators: []config.Operator{
			{Name: "op", TokenSha256: config.HashToken(OperatorToken), Roles: []config.OperatorRolesElem{config.OperatorRolesElemRead, config.OperatorRolesElemChange}},
			{Name: "reader", TokenSha256: config.HashToken("reader-token"), Roles: []config.OperatorRolesElem{config.OperatorRolesElemRead}},
		},
	}
	for _, name := range []string{"alfa", "bravo", "charlie"} {
		out.Teams = append(out.Teams, config.Team{Name: name, TokenSha256: config.HashToken(name + "-token"), DefaultClass: "explain"})
	}
	for i, e := range c.Engines {
		out.Engines = append(out.Engines, config.Engine{Name: e.Name, Pool: "llm", Address: e.Address, Slots: c.opts.Slots, ChecksFence: i < c.opts.Fenced})
	}
	const serviceSlots = 16
	for _, s := range c.Services {
		out.Engines = append(out.Engines, config.Engine{Name: s.Name, Pool: "bids", Address: s.Address, Slots: serviceSlots})
	}
	if c.opts.Config != nil {
		c.opts.Config(out)
	}
	return out
}

// NewID returns a random id for a change.
func NewID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(fmt.Sprintf("cluster: no randomness: %v", err))
	}
	return hex.EncodeToString(b[:])
}

// Statement runs a statement at a node as the operator; an empty id is drawn.
func (c *Cluster) Statement(ctx context.Context, n *Node, text, id string) (*admin.Result, error) {
	if id == "" {
		id = NewID()
	}
	return c.statement(ctx, n, OperatorToken, text, id)
}

// statement runs a statement.
func (c *Cluster) statement(ctx context.Context, n *Node, token, text, id string) (*admin.Result, error) {
	body, err := json.Marshal(map[string]string{"text": text, "change_id": id})
	if err != nil {
		return nil, fmt.Errorf("encode statement: %w", err)
	}
	answer, err := c.call(ctx, n, "/admin/v1/statements", body, token)
	if err != nil {
		return nil, err
	}
	r := &admin.Result{}
	if err := json.Unmarshal(answer, r); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return r, nil
}

// StatementAs runs a statement at a node with some token.
func (c *Cluster) StatementAs(ctx context.Context, n *Node, token, text string) (*admin.Result, error) {
	return c.statement(ctx, n, token, text, NewID())
}

// StatusError is an answer other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error describes the answer.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// call posts a body to a node's administration API.
func (c *Cluster) call(ctx context.Context, n *Node, path string, body []byte, token string) ([]byte, error) {
	const timeout = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Admin+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call node: %w", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{resp.StatusCode, string(answer)}
	}
	return answer, nil
}
