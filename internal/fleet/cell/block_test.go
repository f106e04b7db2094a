package cell_test

import (
	"math/bits"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/proof/seeded"
)

func TestPickTakesTheSmallestAlignedBlock(t *testing.T) {
	cases := []struct {
		name string
		free uint64
		n    int
		want uint64
	}{
		{"nothing asked", 0xff, 0, 0},
		{"single beside a pair", 0b1101_0000, 1, 0b0001_0000},
		{"pair from a pair, not from a four", 0b1100_1111, 2, 0b1100_0000},
		{"three from a four", 0b1111_1011, 3, 0b0111_0000},
		{"unaligned pair is put together", 0b0000_0110, 2, 0b0000_0110},
		{"all of a worker", 0xff, 8, 0xff},
		{"all of the largest worker", ^uint64(0), 64, ^uint64(0)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := cell.Pick(c.free, c.n)
			is.True(ok)
			is.Equal(got, c.want)
		})
	}
	is := is.New(t)
	_, ok := cell.Pick(0b101, 3)
	is.True(!ok)
}

func TestPickFindsWhateverIsFree(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		free, n := rapid.Uint64().Draw(t, "free"), rapid.IntRange(0, 64).Draw(t, "n")
		mask, ok := cell.Pick(free, n)
		if ok != (bits.OnesCount64(free) >= n) || mask&^free != 0 || ok && bits.OnesCount64(mask) != n {
			t.Fatalf("picked %b of %b, ok %v, want %d", mask, free, ok, n)
		}
		if !ok {
			return
		}
		if aligned, had := alignedBlock(free, n); had && bits.Len64(mask)-bits.TrailingZeros64(mask) > aligned {
			t.Fatalf("picked %b of %b, although a block of %d is free", mask, free, aligned)
		}
	})
}

// alignedBlock returns the smallest block size that holds n of which an aligned
// one is free, by looking at each.
func alignedBlock(free uint64, n int) (size int, ok bool) {
	for size = 1; size <= 64; size *= 2 {
		block := ^uint64(0) >> (64 - size)
		for at := 0; at < 64 && size >= n; at += size {
			if free>>at&block == block {
				return size, true
			}
		}
	}
	return 0, false
}
