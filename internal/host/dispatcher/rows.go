package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/work/cancellation"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Tables and names of the system's own rows.
const (
	jobsTable      = "jobs"
	progressTable  = "progress"
	fenceTable     = "fence"
	fenceName      = "term"
	cancelSuffix   = ".cancel"
	cancelledTable = "cancelled"
)

// Partitions is the number of partitions over which the rows of jobs are spread. A
// partition commits one transaction at a time, which must not be the limit on a slow
// store. A new leader writes a fence row to each of them first.
const Partitions = 16

// JobKey returns the key of an accepted job.
func JobKey(partition int, id graph.JobID) store.Key {
	return store.Key{Table: jobsTable, Partition: strconv.Itoa(partition), Name: string(id)}
}

// CancelKey returns the key of the row that marks a job as cancelled.
func CancelKey(partition int, id graph.JobID) store.Key {
	return store.Key{Table: jobsTable, Partition: strconv.Itoa(partition), Name: string(id) + cancelSuffix}
}

// CancelledSetKey returns the key of the row that holds the cancellations of a job which is not
// stored, and of others. The row is never removed: a write of a job that was made before the row
// existed, and is performed late, would take effect after its removal.
func CancelledSetKey(partition int, id graph.JobID) store.Key {
	return store.Key{Table: cancelledTable, Partition: strconv.Itoa(partition), Name: strconv.Itoa(cancellation.Index(id))}
}

// IsCancelledSet reports whether a key is one of CancelledSetKey.
func IsCancelledSet(k store.Key) bool { return k.Table == cancelledTable }

// ProgressKey returns the key of a job's progress row.
func ProgressKey(partition int, id graph.JobID) store.Key {
	return store.Key{Table: progressTable, Partition: strconv.Itoa(partition), Name: string(id)}
}

func fenceKey(partition int) store.Key {
	return store.Key{Table: fenceTable, Partition: strconv.Itoa(partition), Name: fenceName}
}

// EncodeJob returns the value of a job's row.
func EncodeJob(j *graph.Job) ([]byte, error) {
	b, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return b, nil
}

// DecodeJob decodes the value of a job's row. It fails for a job that could not have
// been accepted.
func DecodeJob(value []byte) (*graph.Job, error) {
	j := &graph.Job{}
	if err := json.Unmarshal(value, j); err != nil {
		return nil, fmt.Errorf("decode job: %w", err)
	}
	if err := j.Validate(); err != nil {
		return nil, fmt.Errorf("decode job: %w", err)
	}
	return j, nil
}

// errNewerTerm is returned if a partition's fence row names a newer term.
var errNewerTerm = errors.New("a newer term has begun")

// writeFence writes the term into a partition's fence row and returns the row's version,
// which every write of progress expects from then on. It retries until it succeeds, a
// newer term is found there or the context ends.
func writeFence(ctx context.Context, s store.Store, partition int, term int64, timeout func(attempt int) time.Duration) (int64, error) {
	for attempt := 0; ; attempt++ {
		version, err := tryWriteFence(ctx, s, partition, term, timeout(attempt))
		if err == nil || errors.Is(err, errNewerTerm) {
			return version, err
		}
		if ctx.Err() != nil {
			return 0, fmt.Errorf("write fence of partition %d: %w", partition, err)
		}
		sleep(ctx, storeRetryDelay)
	}
}

// tryWriteFence makes one attempt of writeFence. A row that names the term already is left
// as it is.
func tryWriteFence(ctx context.Context, s store.Store, partition int, term int64, timeout time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	row, err := store.Get(ctx, s, fenceKey(partition))
	if err != nil {
		return 0, err
	}
	stored, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil && row.Version != 0 {
		return 0, fmt.Errorf("decode fence of partition %d: %w", partition, err)
	}
	if stored > term {
		return 0, fmt.Errorf("partition %d: term %d: %w", partition, stored, errNewerTerm)
	}
	if stored == term {
		return row.Version, nil // of an earlier attempt whose answer was lost
	}
	res, err := s.Commit(ctx, store.Tx{
		Expect: []store.Expect{{Key: fenceKey(partition), Version: row.Version}},
		Put:    []store.Put{{Key: fenceKey(partition), Value: strconv.AppendInt(nil, term, 10)}},
	})
	return res.Version, err
}

// storedJob is a job as its rows describe it.
type storedJob struct {
	spec      *graph.Job
	progress  *progress.Job // nil for none or a malformed one
	version   int64         // of the progress row; 0 for none
	cancelled bool
}

// readPartition reads all jobs of a partition, and the version after which the change feed
// continues. Rows that cannot be decoded are passed to malformed and left out; a job whose
// progress row is one of them has no progress.
func readPartition(ctx context.Context, s store.Store, partition int, malformed func(store.Row, error)) ([]storedJob, int64, error) {
	name := strconv.Itoa(partition)
	jobs, err := store.ReadAll(ctx, s, store.Range{Table: jobsTable, Partition: name})
	if err != nil {
		return nil, 0, fmt.Errorf("read jobs of partition %d: %w", partition, err)
	}
	saved, err := store.ReadAll(ctx, s, store.Range{Table: progressTable, Partition: name})
	if err != nil {
		return nil, 0, fmt.Errorf("read progress of partition %d: %w", partition, err)
	}
	byID := map[string]store.Row{}
	for _, r := range saved.Rows {
		byID[r.Key.Name] = r
	}
	var list []storedJob
	cancelled := map[string]bool{}
	for _, r := range jobs.Rows {
		if id, ok := strings.CutSuffix(r.Key.Name, cancelSuffix); ok {
			cancelled[id] = true
		}
	}
	for _, r := range jobs.Rows {
		if strings.HasSuffix(r.Key.Name, cancelSuffix) {
			continue
		}
		spec, err := DecodeJob(r.Value)
		if err != nil || string(spec.ID) != r.Key.Name {
			malformed(r, err)
			continue
		}
		a := storedJob{spec: spec, cancelled: cancelled[r.Key.Name]}
		if p, ok := byID[r.Key.Name]; ok {
			a.version = p.Version
			if a.progress, err = progress.Decode(p.Value); err != nil {
				malformed(p, err)
			}
		}
		list = append(list, a)
	}
	return list, jobs.Version, nil
}
