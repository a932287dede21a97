package engine

import (
	"encoding/json"
	"net/http"
)

// order is one accepted order.
type order struct {
	Fence int    `json:"fence"`
	Text  string `json:"text"`
}

// handleOrder takes a fenced order.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence && o.Fence < e.fence {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	if e.opts.ChecksFence && o.Fence == e.fence {
		return // The same order again.
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
}

// handleOrders lists the accepted orders.
func (e *Engine) handleOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	json.NewEncoder(w).Encode(e.orders)
}
