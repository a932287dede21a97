package news_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/croftturn/croftturn/internal/news"
)

// TestWhatIsToldOfAList holds that what is new goes first, that a message is bounded, that all come by turns, and that nothing
// is told that was removed.
func TestWhatIsToldOfAList(t *testing.T) {
	const names, most = 100, 8
	var l news.List
	for i := range names {
		l.Add(fmt.Sprint(i))
		l.Add(fmt.Sprint(i)) // Once is enough.
	}
	fresh := map[string]bool{"7": true, "9": true}
	l.MarkChanged("9")
	l.MarkChanged("7")
	recent := func(name string) bool { return fresh[name] }
	told := map[string]int{}
	for range 2 * names / most {
		list := l.Next(recent, most)
		if len(list) != most || list[0] != "7" || list[1] != "9" {
			t.Fatalf("told are %v", list)
		}
		for _, name := range list[2:] {
			told[name]++
		}
	}
	if len(told) != names-2 || told["7"] > 0 {
		t.Errorf("%d of the others were told of", len(told))
	}
	delete(fresh, "9")
	l.Remove("7")
	if list := l.Next(recent, 2*names); len(list) != names-1 || slices.Contains(list, "7") {
		t.Errorf("%d are told of once one was removed and one has grown old", len(list))
	}
	for i := range names {
		l.Remove(fmt.Sprint(i))
	}
	if list := l.Next(recent, most); len(list) > 0 {
		t.Errorf("told are %v of an empty list", list)
	}
}
