package lang_test

import (
	"testing"

	"github.com/croftturn/croftturn/internal/lang"
	"github.com/gravitational/trace"
	"github.com/sebdah/goldie/v2"
)

func TestEveryExampleParses(t *testing.T) {
	for _, e := range lang.Statements {
		s, err := lang.Parse(e.Example)
		if err != nil {
			t.Errorf("Parse(%q): %v", e.Example, err)
			continue
		}
		if s.Changes() != e.ChangesConfig {
			t.Errorf("Parse(%q).Changes() = %v, want %v", e.Example, s.Changes(), e.ChangesConfig)
		}
	}
}

func TestQueryParts(t *testing.T) {
	s, err := lang.Parse(`refused where class = confirm and team != "big one" since 5m by class`)
	if err != nil {
		t.Fatal(err)
	}
	q := s.Query
	if q.Table != "refused" || len(q.Where) != 2 || q.Where[1].Operator != "!=" || q.Since != "5m" || q.By != "class" {
		t.Errorf("Parse() = %+v", q)
	}
}

func TestInvalidStatements(t *testing.T) {
	for _, text := range []string{"", "running where", "drain e3", "rollback to", "refused since tomorrow", "running; drop"} {
		if _, err := lang.Parse(text); !trace.IsBadParameter(err) {
			t.Errorf("Parse(%q) error = %v, want a bad parameter", text, err)
		}
	}
}

func TestHelp(t *testing.T) {
	goldie.New(t).Assert(t, "help", []byte(lang.Help()))
}
