package text_test

import (
	"fmt"

	"guavaglade.example/guavaglade/internal/config/text"
)

func ExampleCheck() {
	faults := text.Check([]byte(`[service refill]
completionWeight = 2
[job refill.order]
repeatabel = false
[job planning.season]
members = 8
`))
	fmt.Println(faults)
	// Output:
	// line 2: [service refill] completionWeight: "2" is out of range, want 0 to 1
	// line 4: [job refill.order] repeatabel: unknown key; known here: repeatable, long, urgent, stoppable, guaranteed, declared, startIn, completionWeight, fragmentationWeight, members, accelerators, cores, memory, adjacency
	// line 5: [job planning.season] service "planning" is not described; add [service planning]
}
