package news_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/croftturn/croftturn/internal/news"
)

// TestNextPrefersRecentNames checks that recent names come first, that the result is bounded, that all
// other names get their turn, and that removed names are not returned.
func TestNextPrefersRecentNames(t *testing.T) {
	const names, limit = 100, 8
	var l news.List
	for i := range names {
		l.Add(fmt.Sprint(i))
		l.Add(fmt.Sprint(i)) // Adding a name again has no effect.
	}
	fresh := map[string]bool{"7": true, "9": true}
	l.MarkChanged("9")
	l.MarkChanged("7")
	recent := func(name string) bool { return fresh[name] }
	seen := map[string]int{}
	for range 2 * names / limit {
		list := l.Next(recent, limit)
		if len(list) != limit || list[0] != "7" || list[1] != "9" {
			t.Fatalf("Next returned %v", list)
		}
		for _, name := range list[2:] {
			seen[name]++
		}
	}
	if len(seen) != names-2 || seen["7"] > 0 {
		t.Errorf("%d of the other names were returned", len(seen))
	}
	delete(fresh, "9")
	l.Remove("7")
	if list := l.Next(recent, 2*names); len(list) != names-1 || slices.Contains(list, "7") {
		t.Errorf("%d names are returned after one was removed and one is no longer recent", len(list))
	}
	for i := range names {
		l.Remove(fmt.Sprint(i))
	}
	if list := l.Next(recent, limit); len(list) > 0 {
		t.Errorf("Next returned %v for an empty list", list)
	}
}
