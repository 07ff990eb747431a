package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["foreign"] = foreignCase }

const (
	// foreignTime is how long clients send, and foreignClients the number of clients of a
	// gateway.
	foreignTime    = 8 * time.Second
	foreignClients = 3
	// foreignAt is when the other writer writes its entry.
	foreignAt = 2 * time.Second
)

// foreignCase: another writer writes an entry to the table of servers in which fields are
// missing or of another type. It names no runner to use. At its address is a web server
// that has nothing to do with the services.
func foreignCase(t *trial) error {
	if err := t.deploy(configuration(1_000_000)); err != nil {
		return err
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		t.rec.line("web server", "method", r.Method, "path", r.URL.Path, "id", r.Header.Get("X-Attempt-Id"), "tenant", r.Header.Get("X-Tenant"), "bytes", len(body))
		_, _ = io.WriteString(w, "<html>inventory of the archive's printers</html>")
	})}
	go func() { _ = web.Serve(lis) }()
	defer func() { _ = web.Close() }()

	var sums foreignSums
	done := make(chan struct{})
	began := time.Now()
	for _, g := range t.gateways {
		for n := range foreignClients {
			go func() {
				defer func() { done <- struct{}{} }()
				for i := 0; time.Since(began) < foreignTime; i++ {
					c := call{id: nextID(), method: "POST", path: "/correct/2f", key: "n2ctnfzs989anu6wsjnb", body: []byte("entry"), deadline: time.Second}
					if (i+n)%2 == 0 {
						c.method, c.path, c.body = "GET", "/lookup/2f", nil
					}
					sums.add(send(t.rec, g, c))
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(foreignAt)
	if t.trouble {
		entry := fmt.Sprintf(`{"service":"registry-app","address":%q,"zone":"cluj-a","state":"ready","slots":"six"}`, lis.Addr())
		t.rec.say("another writer writes servers/printers: %s", entry)
		t.store.put("servers", "printers", []byte(entry))
	}
	for range len(t.gateways) * foreignClients {
		<-done
	}
	t.rec.say("at the end: %v", &sums)
	if sums.signed == 0 {
		return fmt.Errorf("nothing was served")
	}
	if sums.unsigned > 0 {
		return fmt.Errorf("%w: MIXED: %d clients got a success without a runner's signature, with a body that isn't a runner's", errBroken, sums.unsigned)
	}
	return nil
}
