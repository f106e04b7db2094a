package cancellation

import (
	"hash/fnv"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Sets is the number of sets in each partition.
const Sets = 16

// Index returns the number of the set that holds the cancellations of a job, from 0 to Sets-1.
func Index(id graph.JobID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	const unused = 16          // lower bits, which choose the partition
	return int(h.Sum32() >> unused % Sets)
}
