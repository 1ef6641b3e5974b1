// Command rig-2 plays the cases of this review: it starts the daemon's processes and, within its
// own, the stand-ins of the platform's store, of the servers and of the clients.
//
// Usage, in the repository:
//
//	rig-2 CASE FOLDER
//
// It writes record.txt to the folder, and exits with 1 if the rule was broken, with 0 if it held
// and with 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name.
var cases = map[string]func(w *world) error{
	"early": playEarly,
	"slow":  playSlow,
	"stop":  playStop,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER")
		return 2
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.end()
		os.Exit(2)
	}()
	if err := cases[args[0]](w); err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(w.broken) > 0 {
		fmt.Println("broken:", len(w.broken), "times, first:", w.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}
