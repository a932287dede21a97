package settings_test

import (
	"errors"
	"testing"

	"github.com/croftturn/croftturn/internal/check"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/sebdah/goldie/v2"
)

const validSettings = `{
	// location
	"instance": "n1", "hall": "h1", "region": "r1",
	"caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2", "admin_address": "127.0.0.1:3",
	"platform_addresses": ["127.0.0.1:4"],
}`

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := settings.Parse("s.json", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.HeartbeatMs != 400 || s.PeerAdvertise != "127.0.0.1:2" || s.LogLevel != "info" {
		t.Errorf("Parse() = %+v", s)
	}
}

// TestProblemsHaveLineNumbers compares the messages for invalid files with the
// golden files.
func TestProblemsHaveLineNumbers(t *testing.T) {
	for name, text := range map[string]string{
		"unknown_key":   "{\n  \"instance\": \"n1\", \"hall\": \"h\", \"region\": \"r\",\n  \"caller_address\": \"127.0.0.1:1\", \"peer_address\": \"127.0.0.1:2\", \"admin_address\": \"127.0.0.1:3\",\n  \"platform_addresses\": [\"x\"],\n  \"hartbeat_ms\": 3\n}",
		"missing_keys":  "{\n  \"instance\": \"n1\"\n}",
		"wrong_types":   "{\n  \"instance\": 7, \"hall\": \"h\", \"region\": \"r\",\n  \"caller_address\": \"nowhere\", \"peer_address\": \"127.0.0.1:2\", \"admin_address\": \"127.0.0.1:3\",\n  \"platform_addresses\": [],\n  \"log_level\": \"loud\",\n  \"drain_ms\": -1\n}",
		"bad_syntax":    "{\n  \"instance\": \"n1\",\n  \"hall\"\n}",
		"key_twice":     "{\n  \"instance\": \"n1\",\n  \"instance\": \"n2\"\n}",
		"contradiction": "{\n  \"instance\": \"n1\", \"hall\": \"h\", \"region\": \"r\",\n  \"caller_address\": \"127.0.0.1:1\", \"peer_address\": \"127.0.0.1:2\", \"admin_address\": \"127.0.0.1:3\",\n  \"platform_addresses\": [\"x\"],\n  \"heartbeat_ms\": 1000,\n  \"suspect_ms\": 1000,\n  \"entry_keep_ms\": 60000\n}",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("s.json", []byte(text))
			var invalid *check.Error
			if !errors.As(err, &invalid) {
				t.Fatalf("Parse() = %v, want a *check.Error", err)
			}
			goldie.New(t).Assert(t, name, []byte(invalid.Error()+"\n"))
		})
	}
}

// TestLimitsMayBeFractional checks that limits computed by a platform, such as a budget
// for a part of a deployment, need not be integers: a node failed to start with 49.2.
func TestLimitsMayBeFractional(t *testing.T) {
	s, err := settings.Parse("s.json", []byte(validSettings[:len(validSettings)-1]+`"retry_extra": 49.2, "memory_mb": 133.5, "retry_share": 0.25}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.RetryExtra != 49.2 || s.MemoryMb != 133.5 {
		t.Errorf("Parse() = %+v", s)
	}
}
