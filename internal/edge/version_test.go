package edge

import (
	"testing"
	"time"
)

// goOnShare is the share of the streams taken up that must go on while their version serves.
const goOnShare = 0.95

func TestStreamsKeepTheirSoftwareVersion(t *testing.T) {
	w := newVersionCluster(t, 5, "a", "a", "a", "a", "b", "b", "b", "b")
	w.breakEvery(5)
	w.load(t, 5*time.Second, func() {}).check(t, goOnShare)
}

func TestStreamsKeepTheirSoftwareVersionWhileNodesAreKilled(t *testing.T) {
	w := newVersionCluster(t, 5, "a", "a", "a", "a", "b", "b", "b", "b")
	w.breakEvery(5)
	w.load(t, 6*time.Second, func() {
		for i := range 5 {
			time.Sleep(900 * time.Millisecond)
			w.restart(t, i)
		}
	}).check(t, 0.5)
}
