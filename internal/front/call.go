package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/header"
	"github.com/croftturn/croftturn/internal/sched"
)

const (
	// leastPrefix is the shortest first message that counts as a prefix worth
	// caching, in bytes.
	leastPrefix = 256

	// keyMost bounds an idempotency key, in bytes.
	keyMost = 200
)

type (
	// call is one request of a caller, read and checked.
	call struct {
		id            string
		team          *config.Team
		class         *config.Class
		pool          *config.Pool
		key           string
		notRepeatable bool
		body          []byte
		arrived       time.Time

		// Of chat completions only:
		stream    bool
		wantUsage bool
		model     string
		prompt    int
		maxTokens int
		prefix    string
		fields    map[string]json.RawMessage

		// Of plain calls only:
		request *http.Request
		path    string
	}
)

// newID returns a random request id.
func newID() string {
	var b [12]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("front: no randomness: " + err.Error())
	}
	return hex.EncodeToString(b[:])
}

// newCall authenticates a caller and reads what all requests have in common.
func (f *Front) newCall(w http.ResponseWriter, r *http.Request) (*call, *CallerError) {
	view := f.views.View()
	team, failure := authenticate(view, r)
	if failure != nil {
		return nil, failure
	}
	c := &call{id: newID(), team: team, arrived: clock.Now(), request: r}
	name := r.Header.Get(HeaderClass)
	if name == "" {
		name = team.DefaultClass
	}
	c.class = view.Class(name)
	if c.class == nil {
		return nil, &CallerError{Status: http.StatusBadRequest, Code: "unknown_class", Message: "no class " + strconv.Quote(name)}
	}
	c.key = r.Header.Get(HeaderKey)
	if len(c.key) > keyMost {
		return nil, &CallerError{Status: http.StatusBadRequest, Code: "bad_key", Message: HeaderKey + " is longer than " + strconv.Itoa(keyMost) + " bytes"}
	}
	marked := r.Header.Get(HeaderNotRepeatable)
	c.notRepeatable = c.class.NotRepeatable || strings.EqualFold(marked, "true")
	if c.body, failure = readBody(w, r, f.limits.MaxBody); failure != nil {
		return nil, failure
	}
	return c, nil
}

// authenticate finds the caller's team.
func authenticate(view *config.View, r *http.Request) (*config.Team, *CallerError) {
	token := header.Bearer(r.Header)
	team := view.TeamByToken(token)
	if token == "" || team == nil {
		return nil, &CallerError{Status: http.StatusUnauthorized, Code: "bad_token", Message: "the bearer token is missing or not known"}
	}
	return team, nil
}

// readBody reads a body of a bounded length; one that is cut short is refused.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *CallerError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &CallerError{Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Message: "the body is longer than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	case err != nil:
		return nil, &CallerError{Status: http.StatusBadRequest, Code: "body_cut_short", Message: "the body could not be read whole"}
	}
	return body, nil
}

// readChat reads a chat completion.
func (f *Front) readChat(w http.ResponseWriter, r *http.Request) (*call, *CallerError) {
	c, failure := f.newCall(w, r)
	if failure != nil {
		return nil, failure
	}
	doc, failure := parseCompletion(c.body)
	if failure != nil {
		return nil, failure
	}
	if err := json.Unmarshal(c.body, &c.fields); err != nil {
		return nil, &CallerError{Status: http.StatusBadRequest, Code: "bad_body", Message: "the body is not a JSON object"}
	}
	c.pool = f.views.View().PoolForModel(doc.Model)
	if c.pool == nil {
		return nil, &CallerError{Status: http.StatusNotFound, Code: "model_not_found", Message: "no model " + strconv.Quote(doc.Model)}
	}
	c.model, c.stream, c.wantUsage = doc.Model, doc.Stream, doc.Options.IncludeUsage
	c.maxTokens = doc.outputTokens()
	c.prompt = len(c.body) / bytesPerToken
	if len(doc.Messages[0]) >= leastPrefix {
		c.prefix = strconv.FormatUint(xxhash.Sum64(doc.Messages[0]), 36)
	}
	return c, nil
}

// readService reads a plain call.
func (f *Front) readService(w http.ResponseWriter, r *http.Request) (*call, *CallerError) {
	name := r.PathValue("pool")
	pool := f.views.View().Pool(name)
	if pool == nil || pool.Kind != config.PoolKindService {
		return nil, &CallerError{Status: http.StatusNotFound, Code: "pool_not_found", Message: "no service pool " + strconv.Quote(name)}
	}
	c, failure := f.newCall(w, r)
	if failure != nil {
		return nil, failure
	}
	c.pool = pool
	c.path = "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	return c, nil
}

// want returns what the scheduler needs to know.
func (c *call) want(exclude string) sched.Request {
	return sched.Request{
		ID: c.id, Pool: c.pool.Name, Class: c.class.Name, Team: c.team.Name, PromptTokens: c.prompt,
		MaxTokens: c.maxTokens, Prefix: c.prefix, Exclude: exclude, Arrived: c.arrived,
	}
}

// keyInSystem returns the key with its team, as it is known to all nodes.
func (c *call) keyInSystem() string { return c.team.Name + "/" + c.key }

// atMostOnce reports whether the key of a call has to be guarded.
func (c *call) atMostOnce() bool { return c.notRepeatable && c.key != "" }

// detached returns a context that does not end when the caller goes, for a call
// whose outcome the caller can ask for again.
func (c *call) detached(ctx context.Context) context.Context {
	if !c.atMostOnce() {
		return ctx
	}
	return context.WithoutCancel(ctx)
}
