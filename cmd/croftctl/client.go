package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/croftturn/croftturn/internal/admin"
	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/wire"
)

// requestTimeout bounds one request; it exceeds the node's timeout for writing a change.
const requestTimeout = 15 * time.Second

// maxAnswerBytes limits an answer.
const maxAnswerBytes = 64 << 20

// client is a client of a node's administration API.
type client struct {
	options
	http *http.Client
	out  io.Writer // out takes results.
}

// newClient returns a client with the given options.
func newClient(o options) *client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = dial.MaxHeadBytes
	return &client{options: o, http: &http.Client{Timeout: requestTimeout, Transport: dial.NewTransport(transport)}, out: os.Stdout}
}

// runPrefixed returns a subcommand whose statement starts with word.
func runPrefixed(word string) func(ctx context.Context, c *client, args []string) error {
	return func(ctx context.Context, c *client, args []string) error {
		return runStatement(ctx, c, append([]string{word}, args...))
	}
}

// runStatement sends a statement and prints its result.
func runStatement(ctx context.Context, c *client, args []string) error {
	id := newChangeID()
	body, err := json.Marshal(struct {
		Text     string `json:"text"`
		ChangeID string `json:"change_id"`
	}{strings.Join(args, " "), id})
	if err != nil {
		return fmt.Errorf("encode statement: %w", err)
	}
	return c.send(ctx, "/admin/v1/statements", id, body)
}

// runApply sends a file as the whole configuration.
func runApply(ctx context.Context, c *client, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("want one file, got %d arguments", len(args))
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	id := newChangeID()
	return c.send(ctx, "/admin/v1/configuration?change_id="+id, id, text)
}

// newChangeID returns a random change id.
func newChangeID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(fmt.Sprintf("croftctl: no randomness: %v", err))
	}
	return "chg-" + hex.EncodeToString(b[:])
}

// send posts a body and prints the result.
func (c *client) send(ctx context.Context, path, id string, body []byte) error {
	if c.address == "" {
		return fmt.Errorf("no address: give -address IP:port or set CROFTTURN_ADMIN")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("no answer; look for change %s in the history: %w", id, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("answer cut short; look for change %s in the history: %w", id, err)
	}
	if len(answer) > maxAnswerBytes {
		return fmt.Errorf("answer over %d MB; look for change %s in the history", maxAnswerBytes>>20, id)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(answer)))
	}
	return c.print(answer)
}

// print prints a result as JSON or as a table.
func (c *client) print(answer []byte) error {
	if c.json {
		_, err := c.out.Write(answer)
		return err
	}
	var r admin.Result
	if err := json.Unmarshal(answer, &r); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	if r.Change != nil {
		fmt.Fprintf(c.out, "accepted as version %d, change %s\n", r.Change.Version, r.Change.ID)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	printChanges(w, r.Changes)
	printRows(w, r.Rows)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	if len(r.Missing) > 0 {
		fmt.Fprintf(c.out, "PARTIAL: no answer from %s\n", strings.Join(r.Missing, ", "))
	}
	return nil
}

// printChanges prints accepted changes.
func printChanges(w io.Writer, changes []wire.Change) {
	if len(changes) == 0 {
		return
	}
	fmt.Fprintln(w, "VERSION\tCHANGE\tAUTHOR\tAT\tSTATEMENT")
	for _, ch := range changes {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", ch.Version, ch.ID, ch.Author, ch.At, ch.Statement)
	}
}

// printRows prints rows without the columns that are empty in all of them.
func printRows(w io.Writer, rows []wire.Row) {
	columns := []struct {
		title string
		value func(r wire.Row) string
	}{
		{"NODE", func(r wire.Row) string { return r.Node }},
		{"NAME", func(r wire.Row) string { return r.Name }},
		{"STATE", func(r wire.Row) string { return r.State }},
		{"CLASS", func(r wire.Row) string { return r.Class }},
		{"TEAM", func(r wire.Row) string { return r.Team }},
		{"POOL", func(r wire.Row) string { return r.Pool }},
		{"ENGINE", func(r wire.Row) string { return r.Engine }},
		{"COUNT", func(r wire.Row) string { return formatCount(r.Count) }},
		{"AGE_MS", func(r wire.Row) string { return formatCount(r.AgeMs) }},
		{"REASON", func(r wire.Row) string { return r.Reason }},
	}
	used := columns[:0]
	for _, col := range columns {
		for _, r := range rows {
			if col.value(r) != "" {
				used = append(used, col)
				break
			}
		}
	}
	if len(used) == 0 {
		fmt.Fprintln(w, "no rows")
		return
	}
	for _, col := range used {
		fmt.Fprintf(w, "%s\t", col.title)
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		for _, col := range used {
			fmt.Fprintf(w, "%s\t", col.value(r))
		}
		fmt.Fprintln(w)
	}
}

// formatCount formats a number, with an empty string for 0.
func formatCount(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}
