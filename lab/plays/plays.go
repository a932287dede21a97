// Package plays lists the recorded plays of the system, so that a score or a hunt is found by
// its site and commit among thousands of entries.
package plays

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	// shortCommit is how many characters of a commit are shown, and longestWhy of the reason.
	shortCommit = 7
	longestWhy  = 120

	// quietSlot marks the days of a score that are without trouble.
	quietSlot = "quiet"

	// drawnDay begins the name of the day of a score that is drawn anew for each.
	drawnDay = "fresh"
)

type (
	// Play is one recorded play, as far as it is listed.
	Play struct {
		File   string   `json:"-"`
		At     []string `json:"at"`  // At is when it began and ended, the latter empty where it was broken off.
		Kind   string   `json:"cmd"` // Kind is what was asked for, such as a score or a hunt.
		Site   string   `json:"site"`
		Commit string   `json:"head"`
		Dirty  bool     `json:"dirty"` // Dirty says that the sources differed from the commit.
		Why    string   `json:"why"`
		OK     bool     `json:"ok"` // OK says that no rule was broken and no day given up.
		Score  *float64 `json:"score"`
		Days   []Day    `json:"days"`
	}

	// Day is one day of a play.
	Day struct {
		Name  string   `json:"name"`
		Slot  string   `json:"slot"`
		Worth *float64 `json:"G"`
	}
)

// listed are the kinds that are listed; single days are too many.
var listed = []string{"score", "hunt", "incident", "sweep"}

// Read reads the plays of a folder that are listed, by site and time.
func Read(dir string) ([]Play, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list plays: %w", err)
	}
	var out []Play
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read play: %w", err)
		}
		p := Play{File: filepath.Base(file)}
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, fmt.Errorf("decode play %s: %w", file, err)
		}
		if slices.Contains(listed, p.Kind) && len(p.At) > 0 {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Play) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.At[0], b.At[0]), cmp.Compare(a.File, b.File))
	})
	return out, nil
}

// worth returns the mean worth of the days that count, and how many there are: of a score
// those with trouble, of others all.
func (p *Play) worth() (mean float64, days int) {
	sum := 0.0
	for _, d := range p.Days {
		if d.Worth == nil || p.Kind == "score" && (d.Slot == quietSlot || strings.HasPrefix(d.Name, drawnDay)) {
			continue
		}
		sum += *d.Worth
		days++
	}
	return sum / float64(max(1, days)), days
}

// result tells what came of a play.
func (p *Play) result() string {
	var parts []string
	if mean, days := p.worth(); days > 0 {
		parts = append(parts, fmt.Sprintf("worth %.3f over %d days", mean, days))
	}
	if p.Score != nil {
		parts = append(parts, fmt.Sprintf("score %.3f", *p.Score))
	}
	if !p.OK {
		parts = append(parts, "not passed")
	}
	return strings.Join(parts, ", ")
}

// commit returns the commit that was played, with a plus where the sources differed from it.
func (p *Play) commit() string {
	short := p.Commit[:min(len(p.Commit), shortCommit)]
	if p.Dirty {
		return short + "+"
	}
	return short
}

// Write writes a page with a table for each site.
func Write(w io.Writer, plays []Play) error {
	var page strings.Builder
	page.WriteString("# Plays\n\nScores, hunts, recorded days and sweeps of `journal/`, written by `lab plays`. Worth is the mean of a score's standard days with trouble,\nand of all days of the others; a plus means that the sources differed from the commit.\n")
	site := ""
	for i := range plays {
		p := &plays[i]
		if p.Site != site || i == 0 {
			site = p.Site
			fmt.Fprintf(&page, "\n## %s\n\n| begun | kind | commit | result | why | entry |\n| --- | --- | --- | --- | --- | --- |\n", site)
		}
		why := strings.ReplaceAll(p.Why, "|", "/")
		if len(why) > longestWhy {
			why = strings.ToValidUTF8(why[:longestWhy], "") + "..."
		}
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s | %s |\n", strings.TrimSuffix(strings.Replace(p.At[0], "T", " ", 1), "Z"), p.Kind, p.commit(), p.result(), why, strings.TrimSuffix(p.File, ".json"))
	}
	if _, err := io.WriteString(w, page.String()); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
