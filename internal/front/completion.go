package front

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/placement"
)

// bytesPerToken is the ratio used to estimate token counts from bytes.
const bytesPerToken = 4

// completion holds the fields of a chat completion request that the router uses.
type completion struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	MaxNew    int               `json:"max_completion_tokens"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// outputTokens returns the limit on output tokens, or 0 if none is given.
func (c *completion) outputTokens() int { return max(c.MaxTokens, c.MaxNew) }

// parseCompletion parses the body of a chat completion request.
func parseCompletion(body []byte) (*completion, *CallerError) {
	doc := &completion{}
	if err := json.Unmarshal(body, doc); err != nil {
		return nil, &CallerError{Status: http.StatusBadRequest, Code: "bad_body", Message: "the body is not a chat completion: " + err.Error()}
	}
	if len(doc.Messages) == 0 {
		return nil, &CallerError{Status: http.StatusBadRequest, Code: "bad_body", Message: "messages is missing or empty"}
	}
	return doc, nil
}

// prompt returns the parts of the prompt. All messages but the last can form a prefix
// shared with other requests. Token counts are estimated from bytes.
func (c *completion) prompt(bytes int) placement.Prompt {
	p := placement.Prompt{Tokens: bytes / bytesPerToken}
	for _, m := range c.Messages[:len(c.Messages)-1] {
		p.Shared = append(p.Shared, placement.Part{ID: xxhash.Sum64(m), Tokens: len(m) / bytesPerToken})
	}
	return p
}
