package demo

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"cuminrock.example/router/ledger"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/wait"
)

const (
	// billTimeout bounds the wait until a bill stands in the platform.
	billTimeout = 15 * time.Second
	// billPoll is the time between two looks at it.
	billPoll = 50 * time.Millisecond
)

// bill is one request's bill as the platform holds it.
type bill struct {
	RequestID string `json:"request_id"`
	Budget    string `json:"budget"`
	Tokens    int64  `json:"tokens"`
}

// requestID returns the id under which a key of the workspace is billed.
func requestID(key string) string { return workspaceName + ":" + key }

// waitForBills waits until the platform holds the bill of each key.
func waitForBills(ctx context.Context, tables platformclient.TableStore, keys []string) ([]bill, error) {
	ctx, cancel := context.WithTimeout(ctx, billTimeout)
	defer cancel()
	var bills []bill
	for _, key := range keys {
		b, err := waitForBill(ctx, tables, requestID(key))
		if err != nil {
			return nil, err
		}
		bills = append(bills, *b)
	}
	return bills, nil
}

func waitForBill(ctx context.Context, tables platformclient.TableStore, id string) (*bill, error) {
	for {
		row, found, err := ledger.ReadBill(ctx, tables, id)
		if found {
			return &bill{RequestID: id, Budget: row.Budget, Tokens: row.Tokens}, nil
		}
		if !wait.For(ctx, billPoll) {
			return nil, trace.LimitExceeded("request %s has no bill after %s (%v)", id, billTimeout, err)
		}
	}
}

// distinctKeys returns the keys of the sample calls, each once.
func distinctKeys() []string {
	var keys []string
	seen := make(map[string]bool)
	for _, c := range sampleCalls {
		if !seen[c.key] {
			seen[c.key] = true
			keys = append(keys, c.key)
		}
	}
	return keys
}
