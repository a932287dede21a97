// Package news bounds what nodes tell each other of things that there may be many of: what is new goes first, and the rest
// by turns.
package news

import (
	"cmp"
	"slices"
	"time"
)

// Turn remembers where the next list goes on.
type Turn struct{ next int }

// Select returns some of a list, the most at most: first what is no older than a time, the newest first, then some of the rest,
// others with each call. The list is to come in the same order each time. The caller of its age says how long ago the sender
// learned of an entry.
func Select[T any](t *Turn, list []T, age func(T) time.Duration, span time.Duration, most int) []T {
	var recent, rest []T
	for _, each := range list {
		if age(each) <= span {
			recent = append(recent, each)
		} else {
			rest = append(rest, each)
		}
	}
	slices.SortStableFunc(recent, func(a, b T) int { return cmp.Compare(age(a), age(b)) })
	out := recent[:min(len(recent), most)]
	more := min(most-len(out), len(rest))
	for i := range more {
		out = append(out, rest[(t.next+i)%len(rest)])
	}
	t.next += more
	return out
}

// Recent returns the beginning of a list that Select made, up to the first entry that is older than a time.
func Recent[T any](list []T, age func(T) time.Duration, span time.Duration) []T {
	if at := slices.IndexFunc(list, func(each T) bool { return age(each) > span }); at >= 0 {
		return list[:at]
	}
	return list
}
