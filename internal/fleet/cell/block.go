package cell

import "math/bits"

// starts holds, for each block size, the accelerators at which an aligned
// block of the size may begin.
var starts = [sizes]uint64{
	^uint64(0), 0x5555555555555555, 0x1111111111111111, 0x0101010101010101,
	0x0001000100010001, 0x0000000100000001, 1,
}

// Pick returns n accelerators of a worker's free ones: within the smallest
// free aligned block of 1, 2, 4, ... that holds them, so that larger blocks
// stay whole. If no block holds them they are put together from the smallest
// blocks. ok is false if fewer than n are free.
func Pick(free uint64, n int) (mask uint64, ok bool) {
	if n == 0 {
		return 0, true
	}
	if bits.OnesCount64(free) < n {
		return 0, false
	}
	blocks := wholeBlocks(free)
	for order := bits.Len(uint(n - 1)); order < sizes; order++ {
		if blocks[order] != 0 {
			block := lowBits(1<<order) << bits.TrailingZeros64(blocks[order])
			return Lowest(block, n)
		}
	}
	return pieces(blocks, n), true
}

// wholeBlocks returns, for each block size, where free aligned blocks begin
// that are in no larger free aligned block.
func wholeBlocks(free uint64) [sizes]uint64 {
	var at [sizes]uint64
	at[0] = free
	for o := 1; o < sizes; o++ {
		at[o] = at[o-1] & (at[o-1] >> (1 << (o - 1))) & starts[o]
	}
	for o := range sizes - 1 {
		at[o] &^= at[o+1] | at[o+1]<<(1<<o)
	}
	return at
}

// pieces puts n accelerators together from the smallest blocks.
func pieces(blocks [sizes]uint64, n int) uint64 {
	var mask uint64
	for o := 0; o < sizes && n > 0; o++ {
		for b := blocks[o]; b != 0 && n > 0; b &= b - 1 {
			take := min(n, 1<<o)
			mask |= lowBits(take) << bits.TrailingZeros64(b)
			n -= take
		}
	}
	return mask
}

// Lowest returns the n lowest of the free accelerators; ok is false if fewer
// than n are free.
func Lowest(free uint64, n int) (mask uint64, ok bool) {
	for ; n > 0; n-- {
		if free == 0 {
			return 0, false
		}
		mask |= free & -free
		free &= free - 1
	}
	return mask, true
}

func lowBits(n int) uint64 {
	if n >= MaxAccelerators {
		return ^uint64(0)
	}
	return uint64(1)<<n - 1
}
