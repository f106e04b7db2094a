package dispatch

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// saver is a machine with jobs to save, all in one partition, and a store that refuses what a test says.
type saver struct {
	*Machine
	now     time.Time
	log     []string
	refuses func(rows []graph.JobID) bool
	saves   int                       // issued
	savedAt map[graph.JobID]time.Time // when a row was last saved
}

// newSaver returns a saver with jobs that are all to be saved.
func newSaver(jobs int) *saver {
	b := DefaultBounds()
	b.Partitions = 1
	s := &saver{now: time.Unix(1000, 0), savedAt: map[graph.JobID]time.Time{}, refuses: func([]graph.JobID) bool { return false }}
	s.Machine = New(1, b, WithLog(s))
	for i := range jobs {
		s.change(saverJob(i))
	}
	return s
}

// saverJob returns the id of a job.
func saverJob(i int) graph.JobID { return graph.JobID(fmt.Sprintf("%016x", i)) }

// Decided implements Log.
func (s *saver) Decided(message string, kv ...any) {
	s.log = append(s.log, fmt.Sprint(message, " ", kv))
}

// Recorded implements Log.
func (s *saver) Recorded(message string, kv ...any) { s.Decided(message, kv...) }

// change changes a job, which is accepted if it is new.
func (s *saver) change(id graph.JobID) {
	s.Accept(testJob(id, 1), s.now)
	s.markDirty(s.jobs[id])
}

// run passes time in steps. A save is answered in the step after the one in which it was issued.
func (s *saver) run(span time.Duration) {
	const step = 20 * time.Millisecond
	for until := s.now.Add(span); s.now.Before(until); {
		commands := s.Decide(s.now)
		s.now = s.now.Add(step)
		for _, c := range commands {
			if save, ok := c.(Save); ok {
				s.answer(save)
			}
		}
	}
}

// answer answers a save.
func (s *saver) answer(c Save) {
	s.saves++
	var ids []graph.JobID
	for _, r := range c.Rows {
		ids = append(ids, r.Job)
	}
	if s.refuses(ids) {
		s.SaveFailed(c.Partition, s.now)
		return
	}
	for _, id := range ids {
		s.savedAt[id] = s.now
	}
	s.Saved(c.Partition, int64(s.saves), s.now)
}

// logged returns how many lines of the log contain a text.
func (s *saver) logged(text string) int {
	return len(slices.DeleteFunc(slices.Clone(s.log), func(l string) bool { return !strings.Contains(l, text) }))
}

// The store refuses the rows of two of forty jobs. The others are saved within a few tries, their later
// changes at once, and the log names the two jobs. When the store accepts the rows, as when they
// have become smaller, they are saved.
func TestOnlyRefusedRowsWait(t *testing.T) {
	is := is.New(t)
	s := newSaver(40)
	refused := []graph.JobID{saverJob(3), saverJob(17)}
	s.refuses = func(rows []graph.JobID) bool {
		return slices.Contains(rows, refused[0]) || slices.Contains(rows, refused[1])
	}
	s.run(6 * time.Second)
	is.Equal(len(s.savedAt), 38)
	for range 50 { // the store refuses the two rows, not all: others are saved between their tries
		changed := s.now
		s.change(saverJob(8))
		s.run(260 * time.Millisecond)
		is.True(s.savedAt[saverJob(8)].After(changed))
	}
	is.True(s.logged("progress row refused [job 0000000000000003 ") >= 1)
	is.True(s.logged("progress row refused [job 0000000000000011 ") >= 1)
	is.Equal(s.logged("progress row refused"), s.logged("progress row refused [job 0000000000000003 ")+s.logged("progress row refused [job 0000000000000011 "))
	for range 50 {
		changed := s.now
		s.change(saverJob(8))
		s.run(60 * time.Millisecond)
		is.True(s.savedAt[saverJob(8)].After(changed))
	}
	s.refuses = func([]graph.JobID) bool { return false }
	s.run(maxRefusedPause)
	is.Equal(len(s.savedAt), 40)
	is.Equal(s.logged("progress row accepted again"), 2)
}

// A job whose row is refused is the only one of its partition. Saves of other partitions show that the
// store serves the leader, so the log names the job.
func TestOnlyJobOfPartitionIsNamedWhenItsRowIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSaver(0)
	s.Machine = New(1, DefaultBounds(), WithLog(s))
	refused, other := saverJob(1), saverJob(2)
	is.True(PartitionOf(refused, s.bounds.Partitions) != PartitionOf(other, s.bounds.Partitions))
	s.refuses = func(rows []graph.JobID) bool { return slices.Contains(rows, refused) }
	s.change(refused)
	for range 20 {
		s.change(other)
		s.run(200 * time.Millisecond)
	}
	is.True(s.logged("progress row refused [job 0000000000000001 ") >= 1)
}

// The store is away for ten seconds. Each try costs a call, so there must be no more than if the save
// were repeated as it is, and afterwards all jobs must be saved with few calls. No job is said to be
// refused.
func TestOutageOfStoreCostsNoMoreSaves(t *testing.T) {
	is := is.New(t)
	s := newSaver(28)
	away := true
	s.refuses = func([]graph.JobID) bool { return away }
	s.run(10 * time.Second)
	is.True(s.saves <= int(10*time.Second/saveRetryPause))
	s.saves, away = 0, false
	s.run(time.Second)
	is.Equal(len(s.savedAt), 28)
	is.True(s.saves <= 6)
	is.Equal(s.logged("progress row refused"), 0)
	for i := range 28 {
		s.change(saverJob(i))
	}
	s.saves = 0
	s.run(time.Second)
	is.Equal(s.saves, 1)
}

// The rows of thirty large jobs change at once. One save of all of them would be larger than the store takes in
// one call, 1 MB in base64, and be refused.
func TestSavesStayUnderSizeOfCall(t *testing.T) {
	is := is.New(t)
	s := newSaver(30)
	for _, j := range s.jobs {
		j.reason = strings.Repeat("r", 45<<10)
	}
	for range 30 {
		for _, c := range s.Decide(s.now) {
			save, ok := c.(Save)
			if !ok {
				continue
			}
			bytes := 0
			for _, r := range save.Rows {
				bytes += base64.StdEncoding.EncodedLen(len(r.Value))
			}
			is.True(bytes < store.MaxBytes)
			s.answer(save)
		}
	}
	is.Equal(len(s.savedAt), 30)
	is.True(s.saves <= 3)
}

// Saves fail at random, rows of some jobs always, and jobs change all the time. Once the store
// only refuses those rows, all other jobs are saved with their latest revision.
func TestAnySaveFailuresLeaveOtherJobsSaved(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		jobs := rapid.IntRange(2, 45).Draw(t, "jobs")
		refused := rapid.SliceOfNDistinct(rapid.IntRange(0, jobs-1), 0, min(3, jobs-1), rapid.ID).Draw(t, "refused")
		failures := rapid.SliceOfN(rapid.IntRange(0, 3), 40, 40).Draw(t, "failures")
		flaky := true
		s := newSaver(jobs)
		s.refuses = func(rows []graph.JobID) bool {
			return flaky && failures[s.saves%len(failures)] == 0 ||
				slices.ContainsFunc(refused, func(i int) bool { return slices.Contains(rows, saverJob(i)) })
		}
		for range 20 {
			s.change(saverJob(rapid.IntRange(0, jobs-1).Draw(t, "changed")))
			s.run(100 * time.Millisecond)
		}
		flaky = false
		s.run(8 * time.Second)
		for i := range jobs {
			j := s.jobs[saverJob(i)]
			if want := !slices.Contains(refused, i); (j.savedRev == j.rev) != want {
				t.Fatalf("job %d of %d: saved revision %d of %d", i, jobs, j.savedRev, j.rev)
			}
		}
	})
}

// A row failed alone once, by chance, and other jobs of its partition change all the time. It has its turn
// nevertheless: its job's starts wait for it.
func TestSuspectRowHasItsTurn(t *testing.T) {
	is := is.New(t)
	s := newSaver(1)
	s.refuses = func([]graph.JobID) bool { return true }
	s.run(250 * time.Millisecond)
	s.refuses = func([]graph.JobID) bool { return false }
	for i := range 20 {
		s.change(saverJob(1 + i))
		s.run(20 * time.Millisecond)
	}
	is.True(!s.savedAt[saverJob(0)].IsZero())
}

// The store refuses the row of a job that is placed on all capacity there is. Its runs are not sent until
// the row is saved, which may be never: they must not keep the capacity from other jobs.
func TestRunsOfRefusedRowDoNotKeepCapacity(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.report(order.Report{})
	s.EnablePlacement(s.now, s.now)
	refused, other := saverJob(1), saverJob(2)
	is.True(PartitionOf(refused, s.bounds.Partitions) != PartitionOf(other, s.bounds.Partitions))
	s.Accept(testJob(refused, 8), s.now)
	started := 0
	for i := range 200 {
		if i == 5 {
			s.Accept(testJob(other, 8), s.now)
		}
		if i%10 == 0 { // other jobs are saved all the time
			s.markDirty(s.jobs[refused])
			if j := s.jobs[other]; j != nil {
				s.markDirty(j)
			}
		}
		s.Tick(s.now)
		commands := s.Decide(s.now)
		s.now = s.now.Add(100 * time.Millisecond)
		for _, c := range commands {
			switch c := c.(type) {
			case Start:
				is.Equal(c.Order.Run.Task.Job, other)
				started++
			case Save:
				if c.Rows[0].Job == refused {
					s.SaveFailed(c.Partition, s.now)
				} else {
					s.Saved(c.Partition, int64(i+1), s.now)
				}
			}
		}
		s.report(order.Report{})
	}
	is.True(started >= 8)
}
