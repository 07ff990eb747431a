package target

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// fakeTarget writes HTTP/1.1 to the connection itself, so that it can fail at any
// point. The path of a call selects the failure; the "crossed" ones send the ID
// of another request.
type fakeTarget struct {
	listener net.Listener

	mu sync.Mutex
	// runs counts executions by request ID, and accepted counts connections.
	runs     map[string]int
	accepted int
	// silencedBelow is the number of the first connection that isn't silenced;
	// requests on earlier ones get no response.
	silencedBelow int
	conns         []net.Conn
	// report is the response body of /v1/load.
	report string
}

func newFakeTarget(t testing.TB) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{listener: l, runs: make(map[string]int)}
	go f.accept()
	t.Cleanup(f.close)
	return f
}

func (f *fakeTarget) target() *pb.Target {
	return &pb.Target{Name: "t1", Address: f.listener.Addr().String()}
}

func (f *fakeTarget) close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

func (f *fakeTarget) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		number := f.accepted
		f.accepted++
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		go f.serve(c, number)
	}
}

// silenceConnections stops responding on all open connections.
func (f *fakeTarget) silenceConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silencedBelow = f.accepted
}

func (f *fakeTarget) isSilenced(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return number < f.silencedBelow
}

func (f *fakeTarget) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *fakeTarget) run(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id]++
}

func (f *fakeTarget) serve(c net.Conn, number int) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		if f.isSilenced(number) {
			return
		}
		if !f.respond(c, req) {
			c.Close()
			return
		}
	}
}

// respond responds to a request. It reports false if the connection must be
// closed.
func (f *fakeTarget) respond(c net.Conn, req *http.Request) bool {
	id := req.Header.Get(headerRequestID)
	mode := strings.TrimPrefix(req.URL.Path, "/")
	if mode == "v1/load" {
		return f.loadReport(c, id)
	}
	if req.Method == http.MethodDelete {
		return write(c, "200 OK", id, "", `{"usage":{"prompt_tokens":2,"completion_tokens":4}}`)
	}
	if strings.HasPrefix(mode, "v1/streams/") {
		from, _ := strconv.Atoi(req.URL.Query().Get("from"))
		return f.stream(c, id, "whole", from)
	}
	if strings.HasPrefix(mode, "stream-") {
		f.run(id)
		return f.stream(c, id, strings.TrimPrefix(mode, "stream-"), 0)
	}
	if strings.HasPrefix(mode, "refuse") {
		if mode == "refuse-crossed" {
			f.run(id)
			id = "another"
		}
		return write(c, "503 Service Unavailable", id, "Cuminrock-Run-State: not_run\r\nRetry-After: 3\r\n", "")
	}
	f.run(id)
	switch mode {
	case "ok":
		return write(c, "200 OK", id, "", `{"ok":true}`)
	case "crossed":
		return write(c, "200 OK", "another", "", `{"ok":true}`)
	case "crossed-body":
		return write(c, "200 OK", id, "", `{"object":"chat.completion","id":"another"}`)
	case "no-echo":
		return write(c, "200 OK", "", "", `{"ok":true}`)
	case "500":
		return write(c, "500 Internal Server Error", id, "", "")
	case "503":
		return write(c, "503 Service Unavailable", id, "", "")
	case "429":
		return write(c, "429 Too Many Requests", id, "", "")
	case "stall":
		time.Sleep(time.Hour)
	case "stall-body":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\n{", headerRequestID, id)
		time.Sleep(time.Hour)
	case "cut-body":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\n{", headerRequestID, id)
	}
	return false
}

func (f *fakeTarget) setReport(report string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report = report
}

// loadReport responds with f.report. If it is empty, it sends no response.
func (f *fakeTarget) loadReport(c net.Conn, id string) bool {
	f.mu.Lock()
	report := f.report
	f.mu.Unlock()
	if report == "" {
		time.Sleep(time.Hour)
	}
	return write(c, "200 OK", id, "", report)
}

func write(c net.Conn, status, id, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headerRequestID, id, headers, len(body), body)
	return err == nil
}

// streamTokens is the number of tokens of each stream.
const streamTokens = 6

// stream writes the stream of an engine, with the failure that mode selects.
func (f *fakeTarget) stream(c net.Conn, id, mode string, from int) bool {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", headerRequestID, id, headerStream)
	digest := sha256.New()
	length := 0
	for i := range streamTokens {
		content := fmt.Sprint("token ", i, " ")
		digest.Write([]byte(content))
		length += len(content)
		if i < from {
			continue
		}
		eventID, offset := id, i
		if i == 3 {
			switch mode {
			case "cut":
				return false
			case "stall":
				time.Sleep(time.Hour)
			case "crossed":
				eventID = "another"
			case "gap":
				offset++
			case "altered":
				content = "forged! "
			}
		}
		fmt.Fprintf(c, "id: s1/%d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", offset, eventID, content)
	}
	if mode == "lingers" {
		defer time.Sleep(time.Hour)
	}
	if mode != "no-end" {
		fmt.Fprintf(c, "id: s1/%d\nevent: end\ndata: {\"id\":%q,\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":%d},\"length\":%d,\"sha256\":%q}\n\n",
			streamTokens, id, streamTokens, length, hex.EncodeToString(digest.Sum(nil)))
	}
	fmt.Fprint(c, "data: [DONE]\n\n")
	return false
}

// closedAddress returns an address without a listener.
func closedAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u := url.URL{Host: l.Addr().String()}
	return u.Host
}
