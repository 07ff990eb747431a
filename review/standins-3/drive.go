package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// caseOptions are those of a run of a case.
type caseOptions struct {
	// trouble is false if all disruptions are left out.
	trouble bool
	// drill is false if a drill of the store is left out.
	drill bool
	// cut is false if a cut between a gateway and the store is left out.
	cut bool
}

// optionsFrom returns the options for a value of TROUBLE: 0 leaves out all disruptions, "nodrill" the
// drill only, "nocut" the cut only.
func optionsFrom(trouble string) caseOptions {
	return caseOptions{trouble: trouble != "0", drill: trouble != "0" && trouble != "nodrill", cut: trouble != "0" && trouble != "nocut"}
}

// cases are the cases by name. Each returns what broke the rule, empty if it held, or an error
// if the case couldn't run.
var cases = map[string]func(f *fleet, o caseOptions) (broken string, err error){
	"restarted-version": driveRestartedVersion,
	"lost-row":          driveLostRow,
	"crowd":             driveCrowd,
	"origin":            driveOrigin,
	"uploads":           driveUploads,
}

// maxCaseTime bounds a run.
const maxCaseTime = 110 * time.Second

func runDrive(args []string) int {
	name := args[0]
	flags := flag.NewFlagSet("drive", flag.ExitOnError)
	record := flags.String("record", "record.txt", "file of the record")
	router := flags.String("router", "target/cuminrock-router", "program of the gateways")
	keep := flags.String("keep", "", "folder for logs; empty for a temporary one that is removed")
	_ = flags.Parse(args[1:])
	drive := cases[name]
	if drive == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitCannotRun
	}
	dir := *keep
	if dir == "" {
		temporary, err := os.MkdirTemp("", "standins3-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitCannotRun
		}
		dir = temporary
		defer func() { _ = os.RemoveAll(dir) }()
	}
	program, err := filepath.Abs(*router)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	f, err := newFleet(dir, program, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer f.stop()
	time.AfterFunc(maxCaseTime, func() {
		f.note("the case takes too long")
		f.stop()
		os.Exit(exitCannotRun)
	})
	broken, err := drive(f, optionsFrom(os.Getenv("TROUBLE")))
	f.appendRunners()
	switch {
	case err != nil:
		f.note("result: couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return exitCannotRun
	case broken != "":
		f.note("result: broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	f.note("result: held")
	fmt.Println("held")
	return exitHeld
}

// appendRunners adds what the targets ran to the record.
func (f *fleet) appendRunners() {
	data, err := os.ReadFile(filepath.Join(f.dir, "runners.txt"))
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "-- what the targets ran:\n%s-- end of what the targets ran\n", data)
}
