// Command standin plays the cases of the review. It starts the project's hosts as processes of their own, and
// stands in for the platform, its store, the workers and the clients.
//
// Usage: standin CASE ROOT RECORD, with the root of the repository and the path of the record. TROUBLE=0 in the
// environment leaves the disruption out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the cases by name.
var cases = map[string]func(d *deployment) int{}

// deployment is a small deployment: 8 hosts in three zones and 48 workers in racks of 8.
type deployment struct {
	*platform
	*fleet
	rec     *record
	trouble bool
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE ROOT RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play starts a deployment, plays a case and ends all that it started.
func play(f func(d *deployment) int, root, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	d, err := openDeployment(root, rec)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return notRun
	}
	defer d.platform.close()
	defer d.fleet.close()
	defer d.platform.store.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() { // ends the hosts if the case is broken off
		<-stop
		d.platform.close()
		os.Exit(notRun)
	}()
	verdict := f(d)
	rec.say("verdict: %s", map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[verdict])
	return verdict
}

// openDeployment starts the store, the workers and the hosts, and waits until a first job has completed.
func openDeployment(root string, rec *record) (*deployment, error) {
	s, err := openStore(rec)
	if err != nil {
		return nil, err
	}
	d := &deployment{fleet: newFleet(s, rec, service), rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	for rack := range 6 {
		for i := range 8 {
			if err := d.launch(workerName(rack, i), zones[rack%3], []string{kindOf(rack, i), fmt.Sprintf("r1-%d", rack)}); err != nil {
				return nil, err
			}
		}
	}
	if d.platform, err = openPlatform(root, s, rec, 8); err != nil {
		return nil, err
	}
	d.configure(3, 3)
	const first = "00000000000000aa"
	if !d.submit(first, job("work 300ms", step{Count: 2, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 300}), 1e10) || !d.awaitState(first, "completed", 1e10) {
		d.platform.close()
		return nil, fmt.Errorf("the deployment doesn't work before the case")
	}
	rec.say("the deployment works: a first job has completed; leader %s", d.leader().name)
	return d, nil
}

// step is a step of a job on the wire.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"memMb"`
	GPU          int    `json:"gpu,omitempty"`
	Estimate     int    `json:"estimatedMs"`
	Requirements string `json:"requirements,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
}

// job returns the body of a submission.
func job(spec string, steps ...step) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

// kindOf returns the kind of a worker: one machine is of kind b, all others of kind a.
func kindOf(rack, index int) string {
	if rack == 2 && index == 3 {
		return "b"
	}
	return "a"
}
