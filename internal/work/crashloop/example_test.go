package crashloop_test

import (
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/work/crashloop"
)

// Two targets were lost just after the task had begun there. A third one does not answer:
// the task waits until it is known to be lost.
func ExampleRecord() {
	now := time.Unix(1000, 0)
	leaseEnd := now.Add(6 * time.Second)
	var r crashloop.Record
	r.Add(crashloop.Loss{Target: "t1", Kind: crashloop.Shared}, now)
	r.Add(crashloop.Loss{Target: "t2", Kind: crashloop.Sole}, now)
	r.Add(crashloop.Loss{Target: "t3", Kind: crashloop.Sole, Open: true}, leaseEnd)
	fmt.Println(r.Verdict(now) == crashloop.Pending)
	r.Settle("t3")
	fmt.Println(r.Verdict(now) == crashloop.Guilty)
	fmt.Println(r.String())
	// Output:
	// true
	// true
	// t1:shared t2:sole t3:sole
}
