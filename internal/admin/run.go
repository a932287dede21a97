package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/lang"
	"github.com/croftturn/croftturn/internal/wire"
)

// maxHistory is the maximum number of changes in one response.
const maxHistory = 1000

// query collects the rows of all nodes, then filters and groups them.
func (a *Admin) query(ctx context.Context, q *lang.Query) (*Result, error) {
	age, err := q.Age()
	if err != nil {
		return nil, err
	}
	req := &wire.QueryRequest{Table: q.Table, SinceMs: int(age.Milliseconds())}
	var rows []wire.Row
	var missing []string
	if q.Table == "members" {
		rows = a.tables.Rows(clock.Now(), req)
	} else {
		rows, missing = a.queryNodes(ctx, req)
	}
	kept := rows[:0]
	for _, r := range rows {
		ok, err := matches(r, q.Where)
		if err != nil {
			return nil, err
		}
		if ok {
			kept = append(kept, r)
		}
	}
	if q.By != "" {
		if kept, err = group(kept, q.By); err != nil {
			return nil, err
		}
	}
	return &Result{Rows: kept, Missing: missing}, nil
}

// queryNodes collects rows from all live nodes and returns the names of those that did not
// answer.
func (a *Admin) queryNodes(ctx context.Context, req *wire.QueryRequest) (rows []wire.Row, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, fanOutTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	self := a.members.Self().Name
	for _, m := range a.members.Live() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply := wire.QueryReply{}
			var err error
			if m.Name == self {
				reply.Rows = a.tables.Rows(clock.Now(), req)
			} else {
				err = a.peers.Call(ctx, m.PeerAddress, MethodQuery, req, &reply)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.Name)
				return
			}
			for i := range reply.Rows {
				reply.Rows[i].Node = m.Name
			}
			rows = append(rows, reply.Rows...)
		}()
	}
	wg.Wait()
	sort.Strings(missing)
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].AgeMs > rows[j].AgeMs })
	return rows, missing
}

// field returns the value of a row's field as text.
func field(r wire.Row, name string) (string, error) {
	switch name {
	case "node":
		return r.Node, nil
	case "name", "request":
		return r.Name, nil
	case "state":
		return r.State, nil
	case "class":
		return r.Class, nil
	case "tier":
		return strconv.Itoa(r.Tier), nil
	case "team":
		return r.Team, nil
	case "pool":
		return r.Pool, nil
	case "engine":
		return r.Engine, nil
	case "reason":
		return r.Reason, nil
	}
	return "", trace.BadParameter("no field %q; fields are node, name, state, class, tier, team, pool, engine, reason", name)
}

// matches reports whether a row satisfies all conditions.
func matches(r wire.Row, where []lang.Condition) (bool, error) {
	for _, c := range where {
		got, err := field(r, c.Field)
		if err != nil {
			return false, err
		}
		if (got == unquote(c.Value)) != (c.Operator == "=") {
			return false, nil
		}
	}
	return true, nil
}

// group counts rows by a field.
func group(rows []wire.Row, by string) ([]wire.Row, error) {
	counts := map[string]int{}
	if _, err := field(wire.Row{}, by); err != nil {
		return nil, err
	}
	for _, r := range rows {
		value, err := field(r, by)
		if err != nil {
			return nil, err
		}
		counts[value]++
	}
	out := make([]wire.Row, 0, len(counts))
	for value, n := range counts {
		out = append(out, wire.Row{Name: value, Count: n})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

// unquote removes the quotes of a quoted string.
func unquote(text string) string {
	if plain, err := strconv.Unquote(text); err == nil {
		return plain
	}
	return text
}

// history returns the accepted changes after a version.
func (a *Admin) history(ctx context.Context, h *lang.History) (*Result, error) {
	after := 0
	if h.After != "" {
		n, err := strconv.Atoi(h.After)
		if err != nil {
			return nil, trace.BadParameter("history after takes a version, not %q", h.After)
		}
		after = n
	}
	changes, err := a.keeper.History(ctx, after, maxHistory)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	for i := range changes {
		changes[i].Before = nil
	}
	return &Result{Changes: changes}, nil
}

// edit converts a statement to an edit of the configuration.
func (a *Admin) edit(ctx context.Context, s *lang.Statement) (config.Edit, error) {
	switch {
	case s.State != nil && s.State.Verb == "drain":
		return config.SetEngineState(s.State.Engine, config.EngineStateDraining), nil
	case s.State != nil:
		return config.SetEngineState(s.State.Engine, config.EngineStateActive), nil
	case s.Delete != nil:
		return config.Delete(wire.EntityKind(s.Delete.Kind), s.Delete.Name), nil
	case s.Rollback != nil:
		return a.keeper.Undo(ctx, s.Rollback.Version)
	case s.Order != nil:
		return config.SetOrder(s.Order.Engine, unquote(s.Order.Text)), nil
	case s.Set != nil:
		return config.SetFields(wire.EntityKind(s.Set.Kind), s.Set.Name, configFields(s.Set.Fields)), nil
	}
	return nil, trace.BadParameter("the statement changes nothing")
}

// configFields converts assignments to configuration fields. Numbers and booleans keep
// their type, lists are given as quoted JSON, and other values are text.
func configFields(list []lang.Assignment) []config.Field {
	out := make([]config.Field, 0, len(list))
	for _, a := range list {
		out = append(out, config.Field{Name: a.Field, Value: jsonValue(a.Value)})
	}
	return out
}

// jsonValue converts a word or a quoted string to JSON.
func jsonValue(text string) json.RawMessage {
	plain := unquote(text)
	if plain != text && !strings.HasPrefix(plain, "[") {
		return jsonString(plain)
	}
	if json.Valid([]byte(plain)) {
		return json.RawMessage(plain)
	}
	return jsonString(plain)
}

// jsonString encodes a text as a JSON string.
func jsonString(text string) json.RawMessage {
	out, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return out
}
