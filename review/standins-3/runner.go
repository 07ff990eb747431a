package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a target, by PROTOCOL.md: it registers itself before it serves,
// refuses requests for other instances, and answers with an event stream or a body.
type runner struct {
	id, service, address, zone, version, control string
	born                                         int64
	gap                                          time.Duration
	pieces                                       int
	slots                                        int

	running  atomic.Int64
	sequence int64
	recordMu sync.Mutex
	record   *os.File
}

const (
	// tokensPerEvent is the engine's stride.
	tokensPerEvent = 5
	// pieceBytes is the size of a piece of a body.
	pieceBytes = 1024
	heartbeat  = 1200 * time.Millisecond
)

func runRunner(args []string) int {
	r := &runner{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	flags.StringVar(&r.id, "id", "", "id of the instance")
	flags.StringVar(&r.service, "service", "s", "service")
	flags.StringVar(&r.address, "addr", "", "address to serve on")
	flags.StringVar(&r.zone, "zone", "z", "zone")
	flags.StringVar(&r.version, "version", "v1", "version of the software")
	flags.StringVar(&r.control, "store", "", "address of the store")
	flags.DurationVar(&r.gap, "gap", 50*time.Millisecond, "time between two events or pieces")
	flags.IntVar(&r.pieces, "pieces", 4, "pieces of a body")
	flags.IntVar(&r.slots, "slots", 64, "slots")
	path := flags.String("record", "", "file to which requests are recorded")
	_ = flags.Parse(args)
	file, err := os.OpenFile(*path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	r.record = file
	lis, err := net.Listen("tcp", r.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	for !r.register() {
		time.Sleep(20 * time.Millisecond)
	}
	go func() {
		for range time.Tick(heartbeat) {
			r.register()
		}
	}()
	_ = http.Serve(lis, http.HandlerFunc(r.serve))
	return exitCannotRun
}

// register writes the runner's entry and reports whether the store took it.
func (r *runner) register() bool {
	r.sequence++
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`,
		r.service, r.address, r.zone, r.version, r.slots, r.sequence, r.born)
	resp, err := http.Post("http://"+r.control+"/put?table=servers&key="+r.id, "application/json", strings.NewReader(entry))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// note records what happens to a request.
func (r *runner) note(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	fmt.Fprintf(r.record, "%s runner=%s version=%s born=%d "+format+"\n",
		append([]any{time.Now().Format("15:04:05.000"), r.id, r.version, r.born}, args...)...)
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Instance-Id", r.id)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", r.running.Load(), r.slots))
	if req.URL.Path == "/healthz" {
		return
	}
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	received, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	r.note("run attempt=%s path=%s bytes=%d last_event=%q tokens=%q tenant=%q", attempt, req.URL.Path, received, req.Header.Get("Last-Event-Id"), req.Header.Get("X-Token-Usage"), req.Header.Get("X-Tenant"))
	h.Set("X-Response-Signature", r.id+"."+r.version+"."+attempt)
	var done bool
	if strings.HasPrefix(req.URL.Path, "/stream/") {
		done = r.stream(w, req, attempt)
	} else {
		done = r.body(w, req)
	}
	r.note("end attempt=%s whole=%t", attempt, done)
}

// events returns the number of events of a request's answer.
func events(usage string) int {
	_, output, _ := strings.Cut(usage, ",")
	tokens, _ := strconv.Atoi(output)
	return tokens / tokensPerEvent
}

// stream answers with events whose ids go on after the last one that the caller has.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, attempt string) bool {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= events(req.Header.Get("X-Token-Usage")); i++ {
		if !r.pause(req) {
			return false
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", i, r.id, r.version, attempt)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	return true
}

// pause waits for the time of a piece; false if the caller has left.
func (r *runner) pause(req *http.Request) bool {
	select {
	case <-time.After(r.gap):
		return true
	case <-req.Context().Done():
		return false
	}
}

// body answers with a body of pieces.
func (r *runner) body(w http.ResponseWriter, req *http.Request) bool {
	piece := strings.Repeat("x", pieceBytes-1) + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(r.pieces*pieceBytes))
	for range r.pieces {
		if !r.pause(req) {
			return false
		}
		_, err := io.WriteString(w, piece)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	return true
}
