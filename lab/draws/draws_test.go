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
	newMesh := func(r *rand.Rand) Judge { return NewMesh(r, 2+r.IntN(11)) }
	ways := map[string]*struct {
		draw     func(r *rand.Rand) Draw
		newJudge func(r *rand.Rand) Judge
		product  bool // product is set if it is the product's way.
		sum      sum
	}{
		"parts":       {draw: New, newJudge: func(*rand.Rand) Judge { return NewParts() }, product: true},
		"nodes":       {draw: New, newJudge: newMesh, product: true},
		"nodes, busy": {draw: NewBusy, newJudge: newMesh, product: true},
		"count":       {draw: New, newJudge: func(*rand.Rand) Judge { return NewCount() }},
		"likelihood":  {draw: New, newJudge: func(*rand.Rand) Judge { return NewLikelihood() }},
	}
	t.Run("ways", func(t *testing.T) {
		for name, w := range ways {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := &w.sum
				for seed := range draws {
					r := rand.New(rand.NewPCG(uint64(seed), 1))
					result := w.draw(r).Play(r, w.newJudge(r))
					s.withheld += result.Withheld
					s.asked += result.Asked
					if result.Late {
						s.late++
					}
					if result.Lost {
						s.lost++
					}
					if w.product && (result.Late || result.Lost) {
						t.Logf("seed %d: %+v", seed, result)
					}
				}
				t.Logf("of %d draws, a part found late in %d, sound requests lost in %d; %d of %d sound requests withheld", draws, s.late, s.lost, s.withheld, s.asked)
				if w.product && (s.late*100 > draws || s.lost*100 > draws || s.withheld*50 > s.asked) {
					t.Errorf("%+v of %d draws", *s, draws)
				}
			})
		}
	})
	p, c := ways["parts"].sum, ways["count"].sum
	if p.withheld*1000 > 5*p.asked || p.withheld >= c.withheld {
		t.Errorf("%d of %d sound requests withheld, and %d by counts alone", p.withheld, p.asked, c.withheld)
	}
}
