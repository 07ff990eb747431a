// Command standins3 has the stand-ins of the third review, one process each: the platform's
// store, a target (runner), and the driver of a case, which starts everything else.
//
//	standins3 store -gates N
//	standins3 runner -id ID -addr HOST:PORT ...
//	standins3 drive CASE -dir DIR -router PROGRAM
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins3 store|runner|drive ...")
		os.Exit(exitCannotRun)
	}
	switch os.Args[1] {
	case "store":
		os.Exit(runStore(os.Args[2:]))
	case "runner":
		os.Exit(runRunner(os.Args[2:]))
	case "drive":
		os.Exit(runDrive(os.Args[2:]))
	}
	fmt.Fprintln(os.Stderr, "unknown command", os.Args[1])
	os.Exit(exitCannotRun)
}

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)
