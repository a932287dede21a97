//go:build review

package fleet2

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// sections and gaps of a settings template, as the pages tell them.
var (
	sectionAt = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}`)
	gapAt     = regexp.MustCompile(`\{\{([a-z0-9_.@,]+)(\|json)?\}\}`)
)

// Fill fills a settings template from the fields of a settings file.
func Fill(text string, fields map[string]any) (string, error) { return fill(text, []any{fields}) }

// fill fills a part of a template; the innermost entry is looked up first.
func fill(text string, scopes []any) (string, error) {
	var out strings.Builder
	for {
		at := sectionAt.FindStringSubmatchIndex(text)
		if at == nil {
			break
		}
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		closing := "{{/" + name + "}}"
		end := strings.Index(text[at[1]:], closing)
		if end < 0 {
			return "", fmt.Errorf("no end of %s", name)
		}
		inner := text[at[1] : at[1]+end]
		out.WriteString(gaps(text[:at[0]], scopes))
		text = text[at[1]+end+len(closing):]
		value := find(name, scopes)
		given := value != nil && value != false
		switch entries, isTable := value.(map[string]any); {
		case kind == "^" && !given:
			part, err := fill(inner, scopes)
			if err != nil {
				return "", err
			}
			out.WriteString(part)
		case kind == "^" || !given:
		case isTable:
			var keys []string
			for k := range entries {
				keys = append(keys, k)
			}
			slices.Sort(keys)
			for i, k := range keys {
				part := strings.ReplaceAll(strings.ReplaceAll(inner, "{{@}}", k), "{{,}}", map[bool]string{true: ",", false: ""}[i < len(keys)-1])
				part, err := fill(part, append(slices.Clone(scopes), entries[k]))
				if err != nil {
					return "", err
				}
				out.WriteString(part)
			}
		default:
			part, err := fill(inner, append(slices.Clone(scopes), value))
			if err != nil {
				return "", err
			}
			out.WriteString(part)
		}
	}
	out.WriteString(gaps(text, scopes))
	return out.String(), nil
}

// gaps fills the gaps of a text without sections.
func gaps(text string, scopes []any) string {
	return gapAt.ReplaceAllStringFunc(text, func(gap string) string {
		m := gapAt.FindStringSubmatch(gap)
		value := find(m[1], scopes)
		if m[2] != "" {
			raw, err := json.Marshal(value)
			if err != nil {
				return ""
			}
			return string(raw)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// find looks a name up, in the innermost entry first.
func find(name string, scopes []any) any {
	for _, scope := range slices.Backward(scopes) {
		if name == "." {
			return scope
		}
		value, ok := scope, true
		for _, part := range strings.Split(name, ".") {
			switch v := value.(type) {
			case map[string]any:
				value, ok = v[part]
			case []any:
				i := 0
				_, err := fmt.Sscan(part, &i)
				if ok = err == nil && i < len(v); ok {
					value = v[i]
				}
			default:
				ok = false
			}
			if !ok {
				break
			}
		}
		if ok {
			return value
		}
	}
	return nil
}

// PlanNode chooses the addresses of a node and returns it with the fields of its settings file, as the pages show them. Neither
// is the file written nor the node started.
func (w *World) PlanNode(i int, hall string) (map[string]any, *Node, error) {
	ip := w.IP(i, 1)
	free, err := freeAddresses(ip, 3)
	if err != nil {
		return nil, nil, err
	}
	n := &Node{Name: fmt.Sprintf("edge-%s-%d", hall, i), Hall: hall, Caller: free[0], Ready: free[1], Directory: free[2], w: w}
	n.Settings, n.LogPath = w.Dir+"/"+n.Name+".json", w.Dir+"/"+n.Name+".log"
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return map[string]any{
		"node_name": n.Name, "ip": ip, "zone": hall, "region": "ebro-norte", "internal_ports": []any{7340, 7355}, "bootstrap": true,
		"zones":        map[string]any{"zgz-a": "ebro-norte", "zgz-b": "ebro-norte", "pam-c": "ebro-norte"},
		"listen_addrs": map[string]any{"front": n.Caller, "ready": n.Ready, "directory": n.Directory},
		"limits":       map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": 8, "fail_closed": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 52,
		},
		"platform": map[string]any{"address": w.Store},
	}, n, nil
}
