package platform

import (
	"io"
	"net/http"
)

// handleGetObject reads an object.
func (p *Platform) handleGetObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[r.PathValue("name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Write(body)
}

// handlePutObject writes an object.
func (p *Platform) handlePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = body
}
