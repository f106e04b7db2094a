package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by the name of their folder.
var cases = map[string]func(s *site, trouble bool) (int, string, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin-2 CASE FOLDER")
		os.Exit(failed)
	}
	runtime.LockOSThread() // the hosts are killed when the thread that has started them ends
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, and writes the record into its folder.
func play(name, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	run, trouble := cases[name], os.Getenv("TROUBLE") != "0"
	if run == nil {
		fmt.Println("no such case")
		return failed
	}
	log.line("case %s, disruption %v", name, trouble)
	s, err := openSite(log, 6, 8)
	if s != nil {
		defer s.close()
	}
	status, text := failed, ""
	if err == nil {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
		go func() {
			<-ended
			s.close()
			os.Exit(failed)
		}()
		time.AfterFunc(110*time.Second, func() {
			log.line("the case took too long")
			s.close()
			os.Exit(failed)
		})
		status, text, err = run(s, trouble)
	}
	if err != nil {
		status, text = failed, err.Error()
	}
	if s != nil {
		s.fleet.mu.Lock()
		for _, b := range s.fleet.breach {
			log.line("also seen: %s", b)
		}
		s.fleet.mu.Unlock()
	}
	log.line("result %d: %s", status, text)
	fmt.Printf("case %s: %d %s\n", name, status, text)
	return status
}
