package gossip_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/gossip"
)

// TestStateIsCompatibleAcrossReleases checks that a state, including its tier stats, can be decoded by a
// release that knows fewer fields and by one that knows more.
func TestStateIsCompatibleAcrossReleases(t *testing.T) {
	type (
		olderTierStats struct {
			Tier  int `cbor:"1,keyasint,omitempty"`
			Asked int `cbor:"2,keyasint,omitempty"`
		}
		older struct {
			Ready     bool                        `cbor:"1,keyasint,omitempty"`
			Rate      float32                     `cbor:"3,keyasint,omitempty"`
			TierStats map[string][]olderTierStats `cbor:"12,keyasint,omitempty"`
		}
		newerTierStats struct {
			dispatch.TierStats
			Newer int `cbor:"90,keyasint"`
		}
		newer struct {
			Ready     bool                        `cbor:"1,keyasint"`
			TierStats map[string][]newerTierStats `cbor:"12,keyasint"`
			Newer     []string                    `cbor:"99,keyasint"`
		}
	)
	state := gossip.State{Ready: true, Rate: 3, ProofAgeMs: -1, TierStats: map[string][]dispatch.TierStats{"p": {{Tier: 2, Requests: 7, NoSlot: 1, Late: 2, PrefillMicros: 900}}}}

	var old older
	translate(t, state, &old)
	if !old.Ready || old.Rate != 3 || len(old.TierStats["p"]) != 1 || old.TierStats["p"][0] != (olderTierStats{Tier: 2, Asked: 7}) {
		t.Errorf("the older release decodes %+v", old)
	}

	var got gossip.State
	translate(t, newer{Ready: true, TierStats: map[string][]newerTierStats{"p": {{TierStats: state.TierStats["p"][0], Newer: 1}}}, Newer: []string{"x"}}, &got)
	if !got.Ready || len(got.TierStats["p"]) != 1 || got.TierStats["p"][0] != state.TierStats["p"][0] {
		t.Errorf("from the newer release is decoded %+v", got)
	}

	var same gossip.State
	translate(t, state, &same)
	if same.ProofAgeMs != -1 || same.TierStats["p"][0] != state.TierStats["p"][0] {
		t.Errorf("the same release decodes %+v", same)
	}
}

// translate encodes a value of one release and decodes it as another does.
func translate(t *testing.T, from, to any) {
	t.Helper()
	raw, err := cbor.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(raw, to); err != nil {
		t.Fatal(err)
	}
}
