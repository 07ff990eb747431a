package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// unframedConfig has one service and a route whose requests run at most once.
const unframedConfig = `{"version":1,
 "routes":[{"name":"once","hostname":"h.example","prefix":"/once/","routeType":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"s","maxAttempts":1}],
 "services":[{"name":"s","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w","apiKeys":["key-w"]}]}`

// bodyPieces is the number of pieces of each body.
const bodyPieces = 12

// driveUnframed lets a target crash whose answers end with their connections.
func driveUnframed(f *fleet, opts caseOptions) (string, error) {
	err := f.startStore(1)
	if err != nil {
		return "", err
	}
	err = f.control("/put?table=op&key=config", unframedConfig)
	if err != nil {
		return "", err
	}
	further := []string{"-unframed", "-pieces", fmt.Sprint(bodyPieces), "-gap", "50ms", "-slots", "6"}
	for _, id := range []string{"i-1", "i-2"} {
		err = f.startRunner(id, "z1", "v1", further...)
		if err != nil {
			return "", err
		}
	}
	_, err = f.startGateway("z1")
	if err != nil {
		return "", err
	}
	client := newClient()
	var cut, whole, failed atomic.Int64
	end := time.Now().Add(12 * time.Second)
	var clients sync.WaitGroup
	clients.Go(func() {
		for time.Now().Before(end) {
			clients.Go(func() {
				c := call{gateway: f.gateways[0], method: http.MethodPost, path: "/once/x", id: newAttempt(), key: "key-w", deadline: 3 * time.Second}
				a := do(client, c)
				f.note("client attempt=%s status=%d signature=%q whole=%t bytes=%d", c.id, a.status, a.signature, a.whole, len(a.body))
				switch {
				case a.status == http.StatusOK && a.whole && len(a.body) == bodyPieces*pieceBytes:
					whole.Add(1)
				case a.status == http.StatusOK && a.whole:
					cut.Add(1)
				default:
					failed.Add(1)
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	if opts.trouble {
		time.Sleep(4 * time.Second)
		f.killRunner("i-1")
		time.Sleep(2 * time.Second)
		err = f.startRunner("i-1", "z1", "v1", further...)
		if err != nil {
			return "", err
		}
	}
	clients.Wait()
	f.note("whole answers %d, answers that look complete and aren't %d, failures %d", whole.Load(), cut.Load(), failed.Load())
	if cut.Load() > 0 {
		return fmt.Sprintf("MIXED: %d successes have a body that isn't the runner's whole body", cut.Load()), nil
	}
	return "", nil
}
