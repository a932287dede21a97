package settings_test

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"
	"text/template"

	"github.com/croftturn/croftturn/internal/settings"
)

// gap is a gap or the bound of a section in a template of the users' platform.
var gap = regexp.MustCompile(`\{\{([#^/]?)([^}|]*)(\|json)?\}\}`)

// fill fills deploy/settings.json.tmpl as the users' platform does. Figures are texts, as they are spelled in the fields.
func fill(t *testing.T, fields map[string]string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	goText := gap.ReplaceAllStringFunc(string(text), func(g string) string {
		m := gap.FindStringSubmatch(g)
		value := `(field "` + m[2] + `")`
		if m[2] == "." {
			value = "."
		}
		switch {
		case m[1] == "#":
			return "{{with " + value + "}}"
		case m[1] == "^":
			return "{{if not " + value + "}}"
		case m[1] == "/":
			return "{{end}}"
		case m[3] != "":
			return "{{json " + value + "}}"
		}
		return "{{" + value + "}}"
	})
	filled := &strings.Builder{}
	err = template.Must(template.New("").Funcs(template.FuncMap{
		"field": func(name string) string { return fields[name] },
		"json": func(value string) (string, error) {
			if json.Valid([]byte(value)) {
				return value, nil
			}
			text, err := json.Marshal(value)
			return string(text), err
		},
	}).Parse(goText)).Execute(filled, nil)
	if err != nil {
		t.Fatal(err)
	}
	return filled.String()
}

// platformFields returns the fields of a deployment with duties.
func platformFields() map[string]string {
	return map[string]string{
		"node_name": "edge-1", "ip": "10.1.0.40", "zone": "z", "region": "r", "internal_ports.0": "7340", "internal_ports.1": "7341", "bootstrap": "true",
		"listen_addrs.front": "10.1.0.40:8227", "listen_addrs.ready": "10.1.0.40:8220", "listen_addrs.directory": "10.1.0.40:8224",
		"limits.cpu_share": "0.4", "limits.cpu_cores": "1", "limits.memory_mb": "134", "limits.link_mbps": "1000.0",
		"bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.fail_closed": "true", "bounds.revoke_ms": "5000", "bounds.retry_budget_ratio": "0.2",
		"bounds.budget_window_s": "10", "bounds.budget_extra": "52", "bounds.lease_ms": "3000", "bounds.usage_window_s": "5", "bounds.usage_late_s": "10",
		"platform.address": "10.200.1.7:8223", "cloud_api.address": "10.200.1.8:8224", "cloud_api.duties": `["usage","scaling"]`,
	}
}

// TestTemplateTakesFiguresWithFractions guards against nodes that do not start again after a bound has become a fraction
// of a second or of a millisecond, or a whole number that is spelled with a point, which was read as another time.
func TestTemplateTakesFiguresWithFractions(t *testing.T) {
	stopGrace := func(s *settings.Settings) float64 { return float64(s.StopGraceMs) }
	retryWindow := func(s *settings.Settings) float64 { return float64(s.RetryWindowMs) }
	usageWindow := func(s *settings.Settings) float64 { return float64(s.UsageWindowMs) }
	for _, test := range []struct {
		field, figure string
		read          func(s *settings.Settings) float64
		want          float64 // want is in milliseconds.
	}{
		{"grace_s", "8", stopGrace, 8000},
		{"grace_s", "8.5", stopGrace, 8500},
		{"grace_s", "8.0", stopGrace, 8000},
		{"grace_s", "0.75", stopGrace, 750},
		{"grace_s", "2.0005", stopGrace, 2000.5},
		{"budget_window_s", "200.0", retryWindow, 200_000},
		{"budget_window_s", "1.5", retryWindow, 1500},
		{"budget_window_s", "0.5", retryWindow, 500},
		{"usage_window_s", "0.75", usageWindow, 750},
		{"usage_late_s", "2.125", func(s *settings.Settings) float64 { return float64(s.UsageLateMs) }, 2125},
		{"revoke_ms", "4000.5", func(s *settings.Settings) float64 { return float64(s.RevokeWithinMs) }, 4000.5},
		{"drain_ms", "1500.5", func(s *settings.Settings) float64 { return float64(s.EngineDrainMs) }, 1500.5},
		{"lease_ms", "3000.5", func(s *settings.Settings) float64 { return float64(s.LeaseMs) }, 3000.5},
		{"budget_extra", "52.5", func(s *settings.Settings) float64 { return s.RetryExtra }, 52.5},
	} {
		t.Run(test.field+" "+test.figure, func(t *testing.T) {
			fields := platformFields()
			fields["bounds."+test.field] = test.figure
			s, err := settings.Parse("node.json", []byte(fill(t, fields)))
			if err != nil {
				t.Fatal(err)
			}
			if got := test.read(s); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
