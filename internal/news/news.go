// Package news bounds how many entries of a long list nodes send each other: recent entries first,
// then the others in rotation.
package news

import (
	"slices"
	"time"
)

// List holds the names of entries that are sent to peers. Its zero value is empty.
type List struct {
	names     []string
	known     map[string]bool // known is the set of names.
	recent    []string        // recent are the names that changed, the newest last.
	nextIndex int             // nextIndex is where the rotation continues in names.
}

// Add adds a name unless it is already in the list.
func (l *List) Add(name string) {
	if l.known[name] {
		return
	}
	if l.known == nil {
		l.known = map[string]bool{}
	}
	l.known[name] = true
	l.names = append(l.names, name)
}

// MarkChanged records that the entry of a name has changed.
func (l *List) MarkChanged(name string) {
	l.unmarkChanged(name)
	l.recent = append(l.recent, name)
}

// Remove removes a name.
func (l *List) Remove(name string) {
	if !l.known[name] {
		return
	}
	delete(l.known, name)
	l.unmarkChanged(name)
	at := slices.Index(l.names, name)
	l.names = slices.Delete(l.names, at, at+1)
}

// unmarkChanged removes a name from those that changed.
func (l *List) unmarkChanged(name string) {
	if at := slices.Index(l.recent, name); at >= 0 {
		l.recent = slices.Delete(l.recent, at, at+1)
	}
}

// Next returns up to limit names to send now: first those that changed and are still recent, the
// newest first, then some of the others, continuing the rotation with each call.
func (l *List) Next(recent func(name string) bool, limit int) []string {
	expired := 0
	for expired < len(l.recent) && !recent(l.recent[expired]) {
		expired++
	}
	l.recent = slices.Delete(l.recent, 0, expired)
	var out []string
	for i := len(l.recent) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, l.recent[i])
	}
	for range min(limit, len(l.names)) {
		if len(out) >= limit {
			break
		}
		name := l.names[l.nextIndex%len(l.names)]
		l.nextIndex++
		if !slices.Contains(l.recent, name) {
			out = append(out, name)
		}
	}
	return out
}

// Recent returns the start of a list that is sorted newest first, up to the first entry older than
// maxAge.
func Recent[T any](list []T, age func(T) time.Duration, maxAge time.Duration) []T {
	if at := slices.IndexFunc(list, func(entry T) bool { return age(entry) > maxAge }); at >= 0 {
		return list[:at]
	}
	return list
}
