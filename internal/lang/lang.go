// Package lang implements the operators' query and command language: its grammar,
// and the list of its statements with help texts and examples.
package lang

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/gravitational/trace"
)

type (
	// Statement is a parsed statement; exactly one of its fields is set.
	Statement struct {
		Query    *Query    `parser:"@@"`
		Explain  *Explain  `parser:"| @@"`
		History  *History  `parser:"| @@"`
		State    *State    `parser:"| @@"`
		Set      *Set      `parser:"| @@"`
		Delete   *Delete   `parser:"| @@"`
		Rollback *Rollback `parser:"| @@"`
		Order    *Order    `parser:"| @@"`
		Release  *Release  `parser:"| @@"`
	}

	// Query selects rows of a table.
	Query struct {
		Table string      `parser:"@('running' | 'queued' | 'refused' | 'completed' | 'unknown' | 'cancelled' | 'engines' | 'orders' | 'members' | 'held')"`
		Where []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
		Since string      `parser:"( 'since' @Word )?"`
		By    string      `parser:"( 'by' @Word )?"`
	}

	// Condition compares a field with a value.
	Condition struct {
		Field    string `parser:"@Word"`
		Operator string `parser:"@('=' | '!=')"`
		Value    string `parser:"@(Word | String)"`
	}

	// Explain asks how a request was scheduled, routed or refused.
	Explain struct {
		Request string `parser:"'explain' @Word"`
	}

	// History lists the accepted changes.
	History struct {
		After string `parser:"'history' ( 'after' @Word )?"`
	}

	// State drains an engine or reactivates it.
	State struct {
		Verb   string `parser:"@('drain' | 'undrain') 'engine'"`
		Engine string `parser:"@Word"`
	}

	// Set sets fields of one configuration entity.
	Set struct {
		Kind   string       `parser:"'set' @('class' | 'team' | 'pool' | 'engine' | 'operator')"`
		Name   string       `parser:"@Word"`
		Fields []Assignment `parser:"@@ ( ',' @@ )*"`
	}

	// Assignment is a field and its new value.
	Assignment struct {
		Field string `parser:"@Word '='"`
		Value string `parser:"@(Word | String)"`
	}

	// Delete deletes one configuration entity.
	Delete struct {
		Kind string `parser:"'delete' @('class' | 'team' | 'pool' | 'engine' | 'operator')"`
		Name string `parser:"@Word"`
	}

	// Rollback reverts all changes after a version.
	Rollback struct {
		Version int `parser:"'rollback' 'to' @Word"`
	}

	// Order sends an engine an order with a fencing token.
	Order struct {
		Engine string `parser:"'order' 'engine' @Word"`
		Text   string `parser:"@String"`
	}

	// Release lets a held request or prompt part reach engines again.
	Release struct {
		ID string `parser:"'release' @Word"`
	}

	// StatementInfo describes a statement in the help text.
	StatementInfo struct {
		Name          string
		Syntax        string
		Help          string
		Example       string
		ChangesConfig bool // ChangesConfig is set if the statement requires the role change.
	}
)

var (
	// grammar returns the parser; it is built on first use.
	grammar = sync.OnceValue(func() *participle.Parser[Statement] {
		return participle.MustBuild[Statement](
			participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
				{Name: "Space", Pattern: `\s+`},
				{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
				{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.:/-]*`},
				{Name: "Sign", Pattern: `!=|=|,`},
			})),
			participle.Elide("Space"),
			participle.UseLookahead(2),
		)
	})

	querySyntax = " [where FIELD = VALUE [and ...]] [since DURATION] [by FIELD]"

	// Statements lists all statements.
	Statements = []StatementInfo{
		{Name: "running", Syntax: "running" + querySyntax, Help: "Requests that are on an engine.", Example: "running where class = confirm"},
		{Name: "queued", Syntax: "queued" + querySyntax, Help: "Requests that wait for a place.", Example: "queued by class"},
		{Name: "refused", Syntax: "refused" + querySyntax, Help: "Requests that were refused.", Example: "refused since 5m by class"},
		{Name: "completed", Syntax: "completed" + querySyntax, Help: "Requests whose answer was whole.", Example: "completed since 1m by team"},
		{Name: "unknown", Syntax: "unknown" + querySyntax, Help: "Requests whose outcome is not known.", Example: "unknown since 1h"},
		{Name: "cancelled", Syntax: "cancelled" + querySyntax, Help: "Requests whose caller had gone.", Example: "cancelled by team"},
		{Name: "engines", Syntax: "engines" + querySyntax, Help: "Engines as their brokers see them.", Example: "engines where state != active"},
		{Name: "orders", Syntax: "orders" + querySyntax, Help: "Orders to engines, and whether they have them.", Example: "orders where state = pending"},
		{Name: "members", Syntax: "members" + querySyntax, Help: "Nodes as the asked node sees them.", Example: "members"},
		{Name: "held", Syntax: "held" + querySyntax, Help: "Requests and prompt parts that are kept from engines, since engines crashed under them.", Example: "held where pool = desk"},
		{Name: "explain", Syntax: "explain REQUEST", Help: "Why a request waited, went where it went, or was refused.", Example: "explain 5f3a9c0de1b2a3c4d5e6f708"},
		{Name: "history", Syntax: "history [after VERSION]", Help: "Accepted changes of the configuration.", Example: "history after 12"},
		{Name: "drain", Syntax: "drain engine NAME", Help: "Give an engine no new work.", Example: "drain engine e3", ChangesConfig: true},
		{Name: "undrain", Syntax: "undrain engine NAME", Help: "Give an engine work again.", Example: "undrain engine e3", ChangesConfig: true},
		{Name: "order", Syntax: "order engine NAME \"TEXT\"", Help: "Order an engine to load a model, adapter or version, or to change role.", Example: "order engine e3 \"load model desk-2\"", ChangesConfig: true},
		{Name: "release", Syntax: "release ID", Help: "Let a held request or prompt part reach engines again, at all nodes.", Example: "release 4b1d7a0c52e98f36", ChangesConfig: true},
		{Name: "set", Syntax: "set KIND NAME FIELD = VALUE [, ...]", Help: "Set fields of a class, team, pool, engine or operator.", Example: "set team ebro requests_per_second = 50", ChangesConfig: true},
		{Name: "delete", Syntax: "delete KIND NAME", Help: "Delete a class, team, pool, engine or operator.", Example: "delete team ebro", ChangesConfig: true},
		{Name: "rollback", Syntax: "rollback to VERSION", Help: "Take back all changes after a version, as a new version.", Example: "rollback to 12", ChangesConfig: true},
	}
)

// Parse parses one statement. The error is trace.BadParameter and says what was
// expected.
func Parse(text string) (*Statement, error) {
	s, err := grammar().ParseString("", text)
	if err != nil {
		return nil, trace.BadParameter("%v; statements are: %s", err, strings.Join(names(), ", "))
	}
	if s.Query != nil {
		if _, err := s.Query.Age(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// names returns the names of all statements, sorted.
func names() []string {
	out := make([]string, 0, len(Statements))
	for _, e := range Statements {
		out = append(out, e.Name)
	}
	sort.Strings(out)
	return out
}

// Age returns the maximum age of rows, or 0 for no limit.
func (q *Query) Age() (time.Duration, error) {
	if q.Since == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(q.Since)
	if err != nil || d <= 0 {
		return 0, trace.BadParameter("since takes a duration such as 5m, not %q", q.Since)
	}
	return d, nil
}

// Changes reports whether a statement changes the configuration or what is held.
func (s *Statement) Changes() bool {
	return s.Release != nil || s.State != nil || s.Set != nil || s.Delete != nil || s.Rollback != nil || s.Order != nil
}

// Help returns the help text for all statements.
func Help() string {
	var b strings.Builder
	for _, e := range Statements {
		fmt.Fprintf(&b, "%s\n    %s\n    example: %s\n", e.Syntax, e.Help, e.Example)
	}
	return b.String()
}
