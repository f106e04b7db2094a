package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Tables of the system's own rows.
const (
	jobsTable     = "jobs"
	progressTable = "progress"
	fenceTable    = "fence"
	fenceName     = "term"
	cancelSuffix  = ".cancel"
)

// Partitions is the number of parts over which the rows of jobs are spread. A part makes
// its transactions one after the other, and must not be the limit on a slow store. A
// leader's first write goes to each part.
const Partitions = 16

// JobKey returns the key of an accepted job.
func JobKey(part int, id graph.JobID) store.Key {
	return store.Key{Table: jobsTable, Partition: strconv.Itoa(part), Name: string(id)}
}

// CancelKey returns the key of a job's cancelling.
func CancelKey(part int, id graph.JobID) store.Key {
	return store.Key{Table: jobsTable, Partition: strconv.Itoa(part), Name: string(id) + cancelSuffix}
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(part int, id graph.JobID) store.Key {
	return store.Key{Table: progressTable, Partition: strconv.Itoa(part), Name: string(id)}
}

func fenceKey(part int) store.Key {
	return store.Key{Table: fenceTable, Partition: strconv.Itoa(part), Name: fenceName}
}

// EncodeJob returns the value of a job's row.
func EncodeJob(j *graph.Job) ([]byte, error) {
	b, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return b, nil
}

// DecodeJob reads the value of a job's row, and refuses one that could not have
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

// errNewerTerm says that a part's fence names a newer term.
var errNewerTerm = errors.New("a newer term has begun")

// writeFence writes the term into a part's writeFence and returns the row's version, which
// every write of progress expects from then on. It goes on until it succeeds, a
// newer term is found there or the context ends.
func writeFence(ctx context.Context, s store.Store, part int, term int64) (int64, error) {
	for {
		version, err := tryWriteFence(ctx, s, part, term)
		if err == nil || errors.Is(err, errNewerTerm) {
			return version, err
		}
		if ctx.Err() != nil {
			return 0, fmt.Errorf("fence part %d: %w", part, err)
		}
		sleep(ctx, storeRetryDelay)
	}
}

func tryWriteFence(ctx context.Context, s store.Store, part int, term int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := store.Get(ctx, s, fenceKey(part))
	if err != nil {
		return 0, err
	}
	there, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil && row.Version != 0 {
		return 0, fmt.Errorf("fence of part %d: %w", part, err)
	}
	if there > term {
		return 0, fmt.Errorf("part %d: term %d: %w", part, there, errNewerTerm)
	}
	if there == term {
		return row.Version, nil // an earlier try whose answer was lost
	}
	res, err := s.Commit(ctx, store.Tx{
		Expect: []store.Expect{{Key: fenceKey(part), Version: row.Version}},
		Put:    []store.Put{{Key: fenceKey(part), Value: strconv.AppendInt(nil, term, 10)}},
	})
	return res.Version, err
}

// storedJob is a job with what the store has of it.
type storedJob struct {
	spec      *graph.Job
	progress  *progress.Job // nil for none
	version   int64         // of the progress row
	cancelled bool
}

// readPartition reads all jobs of a part, and the version from which a feed goes on.
// Rows that cannot be read are handed to odd and left out.
func readPartition(ctx context.Context, s store.Store, part int, odd func(store.Row, error)) ([]storedJob, int64, error) {
	name := strconv.Itoa(part)
	jobs, err := store.ReadAll(ctx, s, store.Range{Table: jobsTable, Partition: name})
	if err != nil {
		return nil, 0, fmt.Errorf("read jobs of part %d: %w", part, err)
	}
	done, err := store.ReadAll(ctx, s, store.Range{Table: progressTable, Partition: name})
	if err != nil {
		return nil, 0, fmt.Errorf("read progress of part %d: %w", part, err)
	}
	byID := map[string]store.Row{}
	for _, r := range done.Rows {
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
			odd(r, err)
			continue
		}
		a := storedJob{spec: spec, cancelled: cancelled[r.Key.Name]}
		if p, ok := byID[r.Key.Name]; ok {
			a.version = p.Version
			if a.progress, err = progress.Decode(p.Value); err != nil {
				odd(p, err)
			}
		}
		list = append(list, a)
	}
	return list, jobs.Version, nil
}
