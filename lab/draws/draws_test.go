package draws

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// TestDrawnMixes checks how often the parts that crash engines are found too late and sound requests are withheld, and that
// simpler ways err more often. DRAWS is the number of draws.
func TestDrawnMixes(t *testing.T) {
	draws := 80
	if n, err := strconv.Atoi(os.Getenv("DRAWS")); err == nil {
		draws = n
	}
	type sum struct{ late, lost, withheld, asked int }
	sums := map[string]sum{}
	for name, newJudge := range map[string]func() Judge{
		"parts": func() Judge { return NewParts() }, "count": func() Judge { return NewCount() }, "likelihood": func() Judge { return NewLikelihood() },
	} {
		var s sum
		for seed := range draws {
			r := rand.New(rand.NewPCG(uint64(seed), 1))
			result := New(r).Play(r, newJudge())
			s.withheld += result.Withheld
			s.asked += result.Asked
			if result.Late {
				s.late++
			}
			if result.Lost {
				s.lost++
			}
			if name == "parts" && (result.Late || result.Lost) {
				t.Logf("seed %d: %+v", seed, result)
			}
		}
		sums[name] = s
		t.Logf("%s: of %d draws, a part found late in %d, sound requests lost in %d; %d of %d sound requests withheld", name, draws, s.late, s.lost, s.withheld, s.asked)
	}
	if p := sums["parts"]; p.late*100 > draws || p.lost*100 > draws || p.withheld*1000 > 5*p.asked {
		t.Errorf("parts: %+v of %d draws", p, draws)
	}
	if p, c := sums["parts"], sums["count"]; p.withheld >= c.withheld {
		t.Errorf("%d sound requests withheld, and %d by counts alone", p.withheld, c.withheld)
	}
}
