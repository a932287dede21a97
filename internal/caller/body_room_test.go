package caller_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/croftturn/croftturn/internal/caller"
)

// TestBodiesAreReadWholeOrNot guards against a body that is cut off and taken for a whole one.
func TestBodiesAreReadWholeOrNot(t *testing.T) {
	for _, n := range []int{0, 1, 4 << 10, 64 << 10, 64<<10 + 1, 1 << 20} {
		want := bytes.Repeat([]byte("x"), n)
		for name, c := range map[string]struct {
			r      io.Reader
			length int
			err    error
		}{
			"whole":              {bytes.NewReader(want), n, nil},
			"in pieces":          {iotest.HalfReader(bytes.NewReader(want)), n, nil},
			"without a length":   {iotest.DataErrReader(bytes.NewReader(want)), -1, nil},
			"cut off":            {bytes.NewReader(want), n + 1, io.ErrUnexpectedEOF},
			"cut off in a chunk": {io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, io.ErrUnexpectedEOF},
		} {
			var room caller.BodyRoom
			b := room.Open()
			got, err := b.Read(c.r, int64(c.length))
			if !errors.Is(err, c.err) || err == nil && !bytes.Equal(got, want) {
				t.Errorf("%d bytes, %s: got %d bytes, %v", n, name, len(got), err)
			}
			if taken := room.Taken(); taken < int64(len(got)) || taken > int64(2*n+64<<10) {
				t.Errorf("%d bytes, %s: took %d", n, name, taken)
			}
			if b.Close(); room.Taken() != 0 {
				t.Errorf("%d bytes, %s: %d are left", n, name, room.Taken())
			}
		}
	}
}

// TestLargeBodiesLeaveRoomForSmallOnes guards against small requests that are refused because of large ones, and against large
// ones that take more than the room.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	var room caller.BodyRoom
	room.SetMemory(40) // 10 MB for bodies, and a quarter more for small ones.
	read := func(n int) (*caller.Body, error) {
		b := room.Open()
		_, err := b.Read(strings.NewReader(strings.Repeat("x", n)), int64(n))
		return b, err
	}
	alone, err := read(16 << 20)
	if err != nil {
		t.Errorf("a body that is alone was refused: %v", err)
	}
	if b, err := read(1 << 20); !errors.Is(err, caller.ErrNoRoom) {
		t.Errorf("a large body beside it: %v", err)
	} else {
		b.Close()
	}
	alone.Close()
	served := map[int]int{}
	for _, n := range []int{1 << 20, 64 << 10} {
		for ; err == nil; served[n]++ {
			_, err = read(n)
		}
		served[n]--
		if err = nil; room.Taken() > 12<<20+1<<19 {
			t.Errorf("%d bytes are taken", room.Taken())
		}
	}
	if served[1<<20] < 9 || served[1<<20] > 10 || served[64<<10] < 39 {
		t.Errorf("bodies had room: %v", served)
	}
}
