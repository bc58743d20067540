package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by the names of their folders. Each returns whether the rule was broken.
var cases = map[string]func(r *rig) bool{
	"6":  forgottenEarly,
	"7":  resultLostAtRestart,
	"8":  askedBeforeTakeover,
	"9":  keptElsewhereNoLonger,
	"10": classGone,
}

// The exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
func main() { os.Exit(play()) }

func play() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER, from the root of the repository")
		return 2
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &rig{given: map[string]bool{}, trouble: os.Getenv("TROUBLE") != "0", dir: dir, host: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)), began: time.Now(), record: bufio.NewWriter(f)}
	defer r.endRecord()
	defer r.cleanup()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	limit := time.AfterFunc(115*time.Second, func() { stop <- syscall.SIGALRM })
	defer limit.Stop()
	result := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				r.note("the case could not run: %v", p)
				fmt.Println("the case could not run:", p)
				result <- 2
			}
		}()
		r.note("case %s, trouble: %v", os.Args[1], r.trouble)
		if cases[os.Args[1]](r) {
			result <- 1
			return
		}
		result <- 0
	}()
	select {
	case status = <-result:
	case s := <-stop:
		r.note("ended by %v", s)
		status = 2
	}
	r.note("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[status])
	fmt.Println([...]string{"the rule held", "the rule was broken", "the case could not run"}[status])
	return status
}
