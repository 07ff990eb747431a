// Command review2 plays the cases of the second review. Everything is on loopback addresses.
//
// Usage: review2 CASE REPOSITORY FOLDER TROUBLE
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2
// if the case couldn't run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	repository string
	trouble    bool
	began      = time.Now()

	recordMu sync.Mutex
	recorder *bufio.Writer
	recordTo *os.File
	scratch  string
	gateways []*Gateway
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func() bool{}

// record writes a line of the record.
func record(what string, fields map[string]any) {
	line := map[string]any{"t": float64(time.Since(began).Microseconds()) / 1e6, "what": what}
	for k, v := range fields {
		line[k] = v
	}
	data, _ := json.Marshal(line)
	recordMu.Lock()
	defer recordMu.Unlock()
	recorder.Write(append(data, '\n'))
}

// cannotRun ends the program if err isn't nil.
func cannotRun(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		leave(exitNotRun)
	}
}

// leave ends all processes and then this one.
func leave(code int) {
	for _, g := range gateways {
		g.mu.Lock()
		g.meant = true
		if g.cmd != nil && g.cmd.Process != nil {
			g.cmd.Process.Kill()
		}
		g.mu.Unlock()
	}
	for _, g := range gateways {
		g.Await()
	}
	if recorder != nil {
		record("end", map[string]any{"exit": code})
		recordMu.Lock()
		recorder.Flush()
		recordTo.Close()
		recordMu.Unlock()
	}
	if os.Getenv("KEEP") == "" && scratch != "" {
		os.RemoveAll(scratch)
	}
	os.Exit(code)
}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE REPOSITORY FOLDER TROUBLE")
		os.Exit(exitNotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	repository, trouble = os.Args[2], os.Args[4] != "0"
	var err error
	recordTo, err = os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	recorder = bufio.NewWriter(recordTo)
	scratch, err = os.MkdirTemp("", "review2-")
	cannotRun(err)
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", scratch)
	}
	go func() {
		time.Sleep(115 * time.Second)
		cannotRun(fmt.Errorf("the case takes too long"))
	}()
	if run() {
		leave(exitBroken)
	}
	leave(exitHeld)
}
