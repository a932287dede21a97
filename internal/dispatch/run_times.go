package dispatch

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// runTimesWindow is for how long a run counts at least among the recent ones of its route.
	runTimesWindow = 30 * time.Second

	// outputWeight is how many tokens of a prompt count as much as a token of the answer: prompts are read many tokens at a
	// time, answers are made one by one.
	outputWeight = 10

	// usualPart is the share of runs that end within the usual time, and fewestUsual how many must be known to tell.
	usualPart   = 0.9
	fewestUsual = 10

	// sizeSteps is into how many size classes each power of two is divided, by sizeStepBits bits: a request is larger than the
	// smallest of its class by a quarter at most, which leastRunMargin covers. Sizes of more than maxSizeBits bits share a class.
	sizeStepBits = 2
	sizeSteps    = 1 << sizeStepBits
	maxSizeBits  = 27
	sizeClasses  = (maxSizeBits + 1) * sizeSteps
)

type (
	// size is how large a request is, as far as that tells how long it runs.
	size struct {
		class  int  // class is 0 if nothing is known yet, since the body has not been read.
		tokens bool // tokens is set if the request counts its tokens; otherwise only the length of its body is known.
	}

	// runTimes knows how long requests of each route ran lately.
	runTimes struct {
		mu     sync.Mutex
		routes map[string]*routeRuns
	}

	// routeRuns are the runs of one route in the present window and the one before.
	routeRuns struct {
		began           time.Time // began is when the present window began.
		count, before   map[size]int
		took, tookLast  [sizeClasses]int32 // took counts runs by the class of their time in milliseconds, tookLast those of the window before.
		longest, former time.Duration      // former is the longest of the window before.
		large, wasLarge bool               // large is set if an answer was relayed before it was whole, wasLarge for the window before.
	}
)

// sizeOf returns the size of a request. The longest answer that it allows counts, or the one that its caller expects if it
// names none.
func sizeOf(r *Request) size {
	output := r.OutputTokens
	if output <= 0 {
		output = r.ExpectedTokens
	}
	if r.Prompt.Tokens <= 0 && output <= 0 {
		return size{class: sizeClass(len(r.Body))}
	}
	const limit = 1 << maxSizeBits // Headers may name any number.
	return size{class: sizeClass(min(max(r.Prompt.Tokens, 0), limit) + outputWeight*min(max(output, 0), limit)), tokens: true}
}

// sizeClass returns the size class of a number of tokens or bytes.
func sizeClass(n int) int {
	length := bits.Len(uint(n))
	if length <= sizeStepBits {
		return n
	}
	step := n >> (length - 1 - sizeStepBits) & (sizeSteps - 1)
	return min((length-sizeStepBits)*sizeSteps+step, sizeClasses-1)
}

// add records a run of a route that was answered.
func (t *runTimes) add(now time.Time, route string, s size, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.current(now, route)
	r.count[s]++
	r.took[sizeClass(int(took.Milliseconds()))]++
	r.longest = max(r.longest, took)
}

// addPart records a run that was only part of one: it was ended, failed, or took up the answer of another. The whole would
// have taken longer.
func (t *runTimes) addPart(now time.Time, route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.current(now, route)
	r.longest = max(r.longest, took)
}

// addLarge records that an answer of a route was relayed before it was whole.
func (t *runTimes) addLarge(now time.Time, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current(now, route).large = true
}

// current returns the runs of a route with the window of a time. The caller holds the lock.
func (t *runTimes) current(now time.Time, route string) *routeRuns {
	if t.routes == nil {
		t.routes = map[string]*routeRuns{}
	}
	r := t.routes[route]
	if r == nil {
		r = &routeRuns{began: now, count: map[size]int{}}
		t.routes[route] = r
	}
	if now.Sub(r.began) >= runTimesWindow {
		*r = routeRuns{began: now, count: map[size]int{}, before: r.count, tookLast: r.took, former: r.longest, wasLarge: r.large}
	}
	return r
}

// longest returns the longest recent run of a route, of any size.
func (t *runTimes) longest(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return 0
	}
	return max(r.longest, r.former)
}

// usual returns the time within which usualPart of the recent runs of a route have ended, rounded up to its class; 0 if too few
// are known.
func (t *runTimes) usual(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return 0
	}
	total := int32(0)
	for i := range r.took {
		total += r.took[i] + r.tookLast[i]
	}
	if total < fewestUsual {
		return 0
	}
	seen, class := int32(0), 0
	for ; float64(seen) < usualPart*float64(total); class++ {
		seen += r.took[class] + r.tookLast[class]
	}
	return time.Duration(classEnd(class-1)) * time.Millisecond
}

// classEnd returns the smallest number above those of a class.
func classEnd(class int) int {
	if class < sizeSteps {
		return class + 1
	}
	length := class/sizeSteps + sizeStepBits
	return (sizeSteps + class%sizeSteps + 1) << (length - 1 - sizeStepBits)
}

// known returns how many recent runs of a route are known of requests at least as large, 0 if an end might break off an answer
// that has begun.
func (t *runTimes) known(route string, s size) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil || r.large || r.wasLarge {
		return 0
	}
	n := 0
	for _, window := range []map[size]int{r.count, r.before} {
		for of, count := range window {
			if s.class == 0 || of.tokens == s.tokens && of.class >= s.class {
				n += count
			}
		}
	}
	return n
}
