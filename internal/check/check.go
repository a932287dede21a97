// Package check parses JSON with comments and validates it against a schema. Each
// reported problem has its line number.
package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

type (
	// Problem is one validation problem of a document.
	Problem struct {
		Line    int    // Line in the document, starting at 1.
		Path    string // Path is a JSON pointer to the value.
		Message string // Message describes the problem and the allowed values.
	}

	// Error lists all problems of a document.
	Error struct {
		Name     string // Name of the document, such as its file path.
		Problems []Problem
	}

	// Schema is a compiled schema.
	Schema struct {
		schema *jsonschema.Schema
	}
)

// Error returns all problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", e.Name, p.Line, p.Path, p.Message))
	}
	return strings.Join(lines, "\n")
}

// MustCompile compiles a schema that is embedded in the program, and panics if the
// schema is invalid.
func MustCompile(text []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("check: schema is not JSON: %v", err))
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", doc); err != nil {
		panic(fmt.Sprintf("check: add schema: %v", err))
	}
	s, err := c.Compile("schema.json")
	if err != nil {
		panic(fmt.Sprintf("check: compile schema: %v", err))
	}
	return &Schema{schema: s}
}

// Read converts a document from JSON with comments to plain JSON and validates it.
// The error is an *Error if the document is invalid.
func (s *Schema) Read(name string, text []byte) ([]byte, error) {
	tree, err := hujson.Parse(text)
	if err != nil {
		return nil, &Error{Name: name, Problems: []Problem{{Line: syntaxLine(err), Path: "/", Message: err.Error()}}}
	}
	plain := tree.Clone()
	plain.Standardize()
	packed := plain.Pack()
	if err := duplicateKeys(name, text, &tree); err != nil {
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("read %s as JSON: %w", name, err)
	}
	if err := s.schema.Validate(doc); err != nil {
		return nil, s.problems(name, text, &tree, err)
	}
	return packed, nil
}

// Line returns the line of the value at a JSON pointer, or 1 if it is not found.
func Line(text []byte, pointer string) int {
	tree, err := hujson.Parse(text)
	if err != nil {
		return 1
	}
	return lineOf(text, &tree, pointer)
}

// lineOf returns the line of a JSON pointer in a parsed document, or 1.
func lineOf(text []byte, tree *hujson.Value, pointer string) int {
	v := tree.Find(pointer)
	if v == nil {
		return 1
	}
	return 1 + bytes.Count(text[:v.StartOffset], []byte("\n"))
}

// syntaxLine extracts the line number from the parser's message, or returns 1.
func syntaxLine(err error) int {
	var n, col int
	if _, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &n, &col); e != nil {
		return 1
	}
	return n
}

// duplicateKeys reports the first duplicate key in an object.
func duplicateKeys(name string, text []byte, tree *hujson.Value) error {
	var found *Problem
	for v := range tree.All() {
		obj, ok := v.Value.(*hujson.Object)
		if !ok || found != nil {
			continue
		}
		seen := map[string]bool{}
		for _, m := range obj.Members {
			var key string
			if lit, ok := m.Name.Value.(hujson.Literal); ok {
				key = lit.String()
			}
			if seen[key] {
				at := 1 + bytes.Count(text[:m.Name.StartOffset], []byte("\n"))
				found = &Problem{Line: at, Path: "/" + key, Message: "key stands twice; remove one"}
			}
			seen[key] = true
		}
	}
	if found == nil {
		return nil
	}
	return &Error{Name: name, Problems: []Problem{*found}}
}

// problems converts a validation error to problems with line numbers.
func (s *Schema) problems(name string, text []byte, tree *hujson.Value, err error) error {
	verr, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return fmt.Errorf("check %s: %w", name, err)
	}
	out := &Error{Name: name}
	printer := message.NewPrinter(language.English)
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		for _, cause := range e.Causes {
			walk(cause)
		}
		if len(e.Causes) > 0 {
			return
		}
		pointer := joinPointer(e.InstanceLocation)
		msg := e.ErrorKind.LocalizedString(printer)
		if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
			pointer += "/" + escapePointer(extra.Properties[0])
			msg = "unknown key; allowed are " + strings.Join(s.allowedKeys(e.InstanceLocation), ", ")
		}
		out.Problems = append(out.Problems, Problem{Line: lineOf(text, tree, pointer), Path: pointer, Message: msg})
	}
	walk(verr)
	sort.SliceStable(out.Problems, func(i, j int) bool { return out.Problems[i].Line < out.Problems[j].Line })
	return out
}

// allowedKeys returns the keys that the schema allows in the object at a path, sorted.
func (s *Schema) allowedKeys(path []string) []string {
	at := s.schema
	for _, part := range path {
		at = resolveRefs(at)
		switch next := at.Properties[part]; {
		case next != nil:
			at = next
		case at.Items2020 != nil:
			at = at.Items2020
		}
	}
	var out []string
	for key := range resolveRefs(at).Properties {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}

// resolveRefs follows schema references.
func resolveRefs(s *jsonschema.Schema) *jsonschema.Schema {
	for s.Ref != nil {
		s = s.Ref
	}
	return s
}

// joinPointer joins path elements into a JSON pointer.
func joinPointer(parts []string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString("/" + escapePointer(p))
	}
	return b.String()
}

// escapePointer escapes one element of a JSON pointer.
func escapePointer(part string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(part)
}

// Decode decodes validated JSON into a value.
func Decode(name string, plain []byte, into any) error {
	if err := json.Unmarshal(plain, into); err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	return nil
}
