package schedule_test

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

var policies = map[string]func() *schedule.Scheduler{
	"firstFit": func() *schedule.Scheduler {
		return schedule.New(placement.NewZone(placement.FirstFit{}, placement.WithoutPlan()), schedule.Plain())
	},
	"bestFit": func() *schedule.Scheduler {
		return schedule.New(placement.NewZone(placement.BestFit{}, placement.WithoutPlan()), schedule.Plain())
	},
	"cells": func() *schedule.Scheduler { return schedule.New(placement.NewZone(placement.Cells{})) },
}

// BenchmarkPolicy replays the users' streams through first fit, best fit and
// the product's decisions. POLICY_SEEDS gives other seeds than 1 to 5.
func BenchmarkPolicy(b *testing.B) {
	seeds := os.Getenv("POLICY_SEEDS")
	if seeds == "" {
		seeds = "1 2 3 4 5"
	}
	for _, user := range []string{"recargaBella", "spf"} {
		for _, policy := range []string{"firstFit", "bestFit", "cells"} {
			for _, load := range []float64{0.6, 0.8, 0.95} {
				for _, seed := range strings.FieldsFunc(seeds, func(r rune) bool { return r == ' ' || r == ',' }) {
					n, err := strconv.ParseUint(seed, 10, 64)
					if err != nil {
						b.Fatalf("POLICY_SEEDS: %v", err)
					}
					b.Run(fmt.Sprintf("user=%s/policy=%s/load=%.2f/seed=%d", user, policy, load, n), func(b *testing.B) {
						for range b.N {
							r, err := replay(newStream(b, user, load, n), policies[policy](), never)
							if err != nil {
								b.Fatal(err)
							}
							r.report(b)
						}
					})
				}
			}
		}
	}
}

func (r *result) report(b *testing.B) {
	sort.Float64s(r.completions)
	b.ReportMetric(mean(r.completions), "completion-mean-s")
	b.ReportMetric(r.completions[len(r.completions)*99/100], "completion-p99-s")
	b.ReportMetric(r.fragmented/arrivals.Seconds(), "fragmentation")
	b.ReportMetric(mean(r.waits), "gangWait-mean-s")
	b.ReportMetric(r.worstWait, "gangWait-max-s")
	b.ReportMetric(float64(r.breaches), "breaches")
	b.ReportMetric(r.lost, "lostWork-s")
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(max(len(xs), 1))
}

// result is what a replay measured.
type result struct {
	completions, waits          []float64 // s; waits of gangs
	breaches, crashes           int
	lost, fragmented, worstWait float64 // lost in accelerator seconds, fragmented in seconds
}

// largest returns the largest shape that waits or is guaranteed.
func (b *bench) largest() cell.Shape {
	var largest cell.Shape
	for _, g := range b.stream.config.Guarantees("z") {
		if g.Shape().Total() > largest.Total() {
			largest = g.Shape()
		}
	}
	for s, n := range b.waiting {
		if n > 0 && (s.Total() > largest.Total() || s.Total() == largest.Total() && s.String() > largest.String()) {
			largest = s
		}
	}
	return largest
}

func claimKey(j job.Job) string { return j.Account() + " " + j.Shape().String() }

// never lets no start fail.
func never(cell.Assignment) string { return "" }

type event struct {
	at time.Duration
	do func()
}

// Times of the bench.
const (
	startWithin     = 2100 * time.Millisecond // of a guaranteed request within its account's room
	longest         = 4 * arrivals            // after which a replay gives up
	checkpointEvery = time.Minute             // of stoppable work, beside the one at a stop
	gangOf          = 16                      // accelerators, from which a gang's wait is reported
)
