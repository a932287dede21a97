// Package news bounds what nodes tell each other of things that there may be many of: what is new goes first, and the rest
// by turns.
package news

import (
	"slices"
	"time"
)

// List holds the names of what peers are told of. Its zero value is empty.
type List struct {
	names  []string
	has    map[string]bool // has holds the names.
	recent []string        // recent are those that changed, the newest last.
	next   int             // next is where the next turn goes on.
}

// Add adds a name, unless it is there.
func (l *List) Add(name string) {
	if l.has[name] {
		return
	}
	if l.has == nil {
		l.has = map[string]bool{}
	}
	l.has[name] = true
	l.names = append(l.names, name)
}

// MarkChanged says that there is something new of a name.
func (l *List) MarkChanged(name string) {
	l.forget(name)
	l.recent = append(l.recent, name)
}

// Remove removes a name.
func (l *List) Remove(name string) {
	if !l.has[name] {
		return
	}
	delete(l.has, name)
	l.forget(name)
	at := slices.Index(l.names, name)
	l.names = slices.Delete(l.names, at, at+1)
}

// forget takes a name out of those that changed.
func (l *List) forget(name string) {
	if at := slices.Index(l.recent, name); at >= 0 {
		l.recent = slices.Delete(l.recent, at, at+1)
	}
}

// Next returns the names that peers are told of now, the most at most: first those that changed and are still recent, the newest
// first, then some of the others, other ones with each call.
func (l *List) Next(recent func(name string) bool, most int) []string {
	old := 0
	for old < len(l.recent) && !recent(l.recent[old]) {
		old++
	}
	l.recent = slices.Delete(l.recent, 0, old)
	var out []string
	for i := len(l.recent) - 1; i >= 0 && len(out) < most; i-- {
		out = append(out, l.recent[i])
	}
	for range min(most, len(l.names)) {
		if len(out) >= most {
			break
		}
		name := l.names[l.next%len(l.names)]
		l.next++
		if !slices.Contains(l.recent, name) {
			out = append(out, name)
		}
	}
	return out
}

// Recent returns the beginning of a list that is told, the newest first, up to the first entry that is older than a time.
func Recent[T any](list []T, age func(T) time.Duration, span time.Duration) []T {
	if at := slices.IndexFunc(list, func(each T) bool { return age(each) > span }); at >= 0 {
		return list[:at]
	}
	return list
}
