package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. It is safe for concurrent
// use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	// ran has the ids of the requests that runners have run.
	ran map[string]bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now(), ran: make(map[string]bool)}, nil
}

// line writes one line: the time in seconds, what happened, and pairs of names and values.
func (r *record) line(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s", time.Since(r.started).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		_, _ = fmt.Fprintf(r.out, " %v=%v", pairs[i], pairs[i+1])
	}
	_ = r.out.WriteByte('\n')
}

// addRun records that a runner has begun to run a request.
func (r *record) addRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[id] = true
}

// hasRun reports whether a runner has begun to run a request.
func (r *record) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// say writes a line to the file and to standard output.
func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.line("note: " + text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
