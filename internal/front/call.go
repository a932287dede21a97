package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/header"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/sched"
)

const (
	// minPrefixBytes is the minimum length of a first message that is used as a
	// cacheable prefix, in bytes.
	minPrefixBytes = 256

	// decodedCopies is how often the process holds the body of a chat completion: as it came, decoded, and as it is sent.
	decodedCopies = 3

	// maxKeyBytes is the maximum length of an idempotency key, in bytes.
	maxKeyBytes = 200

	// kernelTick is the longest tick in which kernels count for how long a connection has been quiet.
	kernelTick = 10 * time.Millisecond
)

type (
	// call is one validated request of a caller.
	call struct {
		id            string
		team          *config.Team
		class         *config.Class
		pool          *config.Pool
		key           string
		notRepeatable bool
		body          []byte
		arrived       time.Time
		reached       time.Time   // reached is when the kernel had the request at the earliest, as far as it had come when this node read it.
		held          *heldAnswer // held is the text of a chat completion received so far, over all tries.

		fingerprint   quarantine.Fingerprint
		trial         bool      // trial is set if the next try is the trial of a held request.
		partTrial     time.Time // partTrial is when the call became the trial of held prompt parts; zero if it is none.
		trialBegan    time.Time // trialBegan is when the engine began to answer that trial.
		trialSurvived bool      // trialSurvived is set once the engine has answered that trial for long enough.
		crashedEngine bool      // crashedEngine is set once an engine has crashed under the call.
		failed        bool      // failed is set if the backend server answered with a failure.

		// Chat completions only:
		parts        []uint64 // parts are the messages that prompts share.
		stream       bool
		includeUsage bool
		model        string
		prompt       int
		maxTokens    int
		prefix       string
		fields       map[string]json.RawMessage

		// Service calls only:
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

// newCall authenticates a caller and reads the parts common to all requests.
func (f *Front) newCall(w http.ResponseWriter, r *http.Request, room *caller.Body) (*call, *CallerError) {
	view := f.views.View()
	team, failure := authenticate(view, r)
	if failure != nil {
		return nil, failure
	}
	c := &call{id: newID(), team: team, arrived: clock.Now(), request: r}
	conn := caller.ConnOf(r.Context())
	conn.SetRequest(c.id)
	at, _ := conn.Arrival(c.arrived)
	c.reached = at.Add(-kernelTick)
	name := r.Header.Get(HeaderClass)
	if name == "" {
		name = team.DefaultClass
	}
	c.class = view.Class(name)
	if c.class == nil {
		return nil, &CallerError{Status: http.StatusBadRequest, Code: "unknown_class", Message: "no class " + strconv.Quote(name)}
	}
	c.key = r.Header.Get(HeaderKey)
	if len(c.key) > maxKeyBytes {
		return nil, &CallerError{Status: http.StatusBadRequest, Code: "bad_key", Message: HeaderKey + " is longer than " + strconv.Itoa(maxKeyBytes) + " bytes"}
	}
	marked := r.Header.Get(HeaderNotRepeatable)
	c.notRepeatable = c.class.NotRepeatable || strings.EqualFold(marked, "true")
	end := f.reads.Begin(http.NewResponseController(w))
	c.body, failure = readBody(w, r, room, f.limits.MaxBody)
	if interrupted := end(); failure != nil && interrupted {
		failure = f.refuseUnread(clock.Now(), w, c)
	}
	if failure != nil {
		return nil, failure
	}
	return c, nil
}

// authenticate returns the team of the bearer token.
func authenticate(view *config.View, r *http.Request) (*config.Team, *CallerError) {
	token := header.Bearer(r.Header)
	team := view.TeamByToken(token)
	if token == "" || team == nil {
		return nil, &CallerError{Status: http.StatusUnauthorized, Code: "bad_token", Message: "the bearer token is missing or not known"}
	}
	return team, nil
}

// readBody reads a body of at most limit bytes and refuses a truncated one, and one that has no room.
func readBody(w http.ResponseWriter, r *http.Request, room *caller.Body, limit int64) ([]byte, *CallerError) {
	tooLarge := &CallerError{Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Message: "the body is longer than " + strconv.FormatInt(limit, 10) + " bytes"}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // Otherwise the server reads the body before it sends the refusal.
		return nil, tooLarge
	}
	body, err := room.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var beyond *http.MaxBytesError
	switch {
	case errors.As(err, &beyond):
		return nil, tooLarge
	case errors.Is(err, caller.ErrNoRoom):
		return nil, noRoom(w)
	case err != nil:
		return nil, &CallerError{Status: http.StatusBadRequest, Code: "body_cut_short", Message: "the body could not be read whole"}
	}
	return body, nil
}

// noRoom refuses a request whose body has no room and closes its connection: otherwise the server reads the body before it sends
// the refusal.
func noRoom(w http.ResponseWriter) *CallerError {
	w.Header().Set("Connection", "close")
	refusal := dispatch.NoRoomForBody()
	return &CallerError{Status: refusal.Reason.Status(), Code: string(refusal.Reason), Message: caller.ErrNoRoom.Error(), RetryAfter: refusal.RetryAfter}
}

// readChat parses a chat completion request.
func (f *Front) readChat(w http.ResponseWriter, r *http.Request, room *caller.Body) (*call, *CallerError) {
	c, failure := f.newCall(w, r, room)
	if failure != nil {
		return nil, failure
	}
	if !room.Resize(decodedCopies * int64(len(c.body))) {
		return nil, noRoom(w)
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
	c.model, c.stream, c.includeUsage = doc.Model, doc.Stream, doc.Options.IncludeUsage
	c.maxTokens = doc.outputTokens()
	c.prompt = len(c.body) / bytesPerToken
	c.parts = doc.prompt(len(c.body)).SharedIDs()
	c.identify(r, r.URL.Path)
	if len(doc.Messages[0]) >= minPrefixBytes {
		c.prefix = strconv.FormatUint(xxhash.Sum64(doc.Messages[0]), 36)
	}
	return c, nil
}

// readService parses a service call.
func (f *Front) readService(w http.ResponseWriter, r *http.Request, room *caller.Body) (*call, *CallerError) {
	name := r.PathValue("pool")
	pool := f.views.View().Pool(name)
	if pool == nil || pool.Kind != config.PoolKindService {
		return nil, &CallerError{Status: http.StatusNotFound, Code: "pool_not_found", Message: "no service pool " + strconv.Quote(name)}
	}
	c, failure := f.newCall(w, r, room)
	if failure != nil {
		return nil, failure
	}
	c.pool = pool
	// The path stays escaped: an escaped question mark would begin a query.
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	c.path = "/" + path
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	c.identify(r, c.path)
	return c, nil
}

// schedRequest returns the scheduler's request; exclude names an engine to avoid.
func (c *call) schedRequest(exclude string) sched.Request {
	return sched.Request{
		ID: c.id, Pool: c.pool.Name, Class: c.class.Name, Team: c.team.Name, PromptTokens: c.prompt,
		MaxTokens: c.maxTokens, Prefix: c.prefix, Exclude: exclude, Arrived: c.arrived,
	}
}

// scopedKey returns the key prefixed with its team, unique across the cluster.
func (c *call) scopedKey() string { return c.team.Name + "/" + c.key }

// atMostOnce reports whether a call has a key that must run at most once.
func (c *call) atMostOnce() bool { return c.notRepeatable && c.key != "" }

// detached returns a context that survives the caller's disconnect if the call is
// at-most-once, since the caller can ask for its outcome again.
func (c *call) detached(ctx context.Context) context.Context {
	if !c.atMostOnce() {
		return ctx
	}
	return caller.Detach(ctx)
}
