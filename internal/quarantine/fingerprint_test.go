package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/croftturn/croftturn/internal/quarantine"
)

// TestFingerprintCoversEveryField checks that a change of any field changes the fingerprint, including when
// the concatenated fields have the same bytes.
func TestFingerprintCoversEveryField(t *testing.T) {
	work := quarantine.FingerprintInput{Team: "t", Method: "POST", Host: "h", Target: "/a?b", Model: "m", Body: []byte("x")}
	want := quarantine.FingerprintOf(work)
	if same := work; quarantine.FingerprintOf(same) != want {
		t.Error("equal requests have different fingerprints")
	}
	for name, change := range map[string]func(w *quarantine.FingerprintInput){
		"team":             func(w *quarantine.FingerprintInput) { w.Team = "u" },
		"method":           func(w *quarantine.FingerprintInput) { w.Method = "PUT" },
		"host":             func(w *quarantine.FingerprintInput) { w.Host = "g" },
		"path":             func(w *quarantine.FingerprintInput) { w.Target = "/b?b" },
		"query":            func(w *quarantine.FingerprintInput) { w.Target = "/a?c" },
		"model":            func(w *quarantine.FingerprintInput) { w.Model = "n" },
		"body":             func(w *quarantine.FingerprintInput) { w.Body = []byte("y") },
		"model moved":      func(w *quarantine.FingerprintInput) { w.Model, w.Body = "", []byte("mx") },
		"team and method":  func(w *quarantine.FingerprintInput) { w.Team, w.Method = "tP", "OST" },
		"a longer body":    func(w *quarantine.FingerprintInput) { w.Body = []byte("xx") },
		"nothing but body": func(w *quarantine.FingerprintInput) { *w = quarantine.FingerprintInput{Body: []byte("x")} },
	} {
		other := work
		change(&other)
		if quarantine.FingerprintOf(other) == want {
			t.Errorf("change of %s: the fingerprint is the same", name)
		}
	}
}

// BenchmarkFingerprintOf measures fingerprinting by body size.
func BenchmarkFingerprintOf(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			work := quarantine.FingerprintInput{Team: "team", Method: "POST", Host: "host.example", Target: "/route/x", Model: "m", Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				quarantine.FingerprintOf(work)
			}
		})
	}
}
