package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/order"
)

// Order sends an order with a fencing token to an engine, unless the deadline has
// passed. It returns an *order.OldFenceError if the engine has seen a newer token.
func (c *Client) Order(ctx context.Context, address string, fence int, text string, deadline time.Time) error {
	body, err := json.Marshal(struct {
		Fence int    `json:"fence"`
		Text  string `json:"text"`
	}{fence, text})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Until(deadline))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build order: %w", err)
	}
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return &order.OldFenceError{Engine: address}
	}
	return fmt.Errorf("order answered with status %d: %w", resp.StatusCode, ErrBroken)
}
