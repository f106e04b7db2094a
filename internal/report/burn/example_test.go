package burn_test

import (
	"fmt"
	"os"
	"time"

	"guavaglade.example/guavaglade/internal/report/burn"
)

func ExampleRecorder() {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	r := burn.New("10.0.0.1:9080#1")
	r.SetObjectives(burn.Objectives{"refill": {Target: 0.9, Within: time.Second}})
	for i := range 20 {
		r.Record("refill", "kiosks", 300*time.Millisecond, i != 7, now)
	}
	report, err := r.Report(now)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("burns at %.1f, %.0f%% left\n", report.Lines[0].Burn.Hour, 100*report.Lines[0].BudgetLeft)
	if err := report.WriteText(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// burns at 0.5, 50% left
	// service-level burn at 2026-12-02T12:00:00Z, 1 hosts
	// service  account  objective  good  bad  budget left  burn 1h  5m   6h   30m  p50    p90    p99    alert
	// refill   (all)    90% in 1s  19    1    50.0%        0.5      0.5  0.5  0.5  301ms  301ms  301ms  -
	// refill   kiosks   90% in 1s  19    1    50.0%        0.5      0.5  0.5  0.5  301ms  301ms  301ms  -
	// good, bad and budget: last 6 hours; latencies: last 3 to 6 hours
}
