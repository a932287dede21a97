package dial_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestAllAnswersAreReadThroughATransport guards against a client that takes parts of answers for whole ones since it was not
// built on a dial.Transport.
func TestAllAnswersAreReadThroughATransport(t *testing.T) {
	const root = "../.."
	for _, dir := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || filepath.Dir(path) == filepath.Join(root, "internal/dial") {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			source := string(text)
			transports := strings.Count(source, "http.Transport{") + strings.Count(source, "http.DefaultTransport")
			if wrapped := strings.Count(source, "dial.NewTransport("); wrapped < transports {
				t.Errorf("%s: %d of %d transports read answers as net/http does", path, transports-wrapped, transports)
			}
			if clients := strings.Count(source, "http.Client{"); clients > 0 && transports == 0 {
				t.Errorf("%s: an http.Client without a transport of its own", path)
			}
			for _, name := range []string{"http.DefaultClient", "http.ReadResponse", "http.Get(", "http.Post("} {
				if strings.Contains(source, name) {
					t.Errorf("%s: reads answers with %s", path, name)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
