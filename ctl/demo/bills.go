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
	// billTimeout bounds the wait until the platform holds all bills.
	billTimeout = 15 * time.Second
	// billPollInterval is the time between two reads of a bill.
	billPollInterval = 50 * time.Millisecond
)

// bill is the bill of one request as stored in the platform.
type bill struct {
	RequestID string `json:"request_id"`
	Budget    string `json:"budget"`
	Tokens    int64  `json:"tokens"`
}

// requestID returns the request id under which a request with this idempotency
// key is billed.
func requestID(key string) string { return workspaceName + ":" + key }

// waitForBills waits until the platform holds a bill for each idempotency key.
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
		billRow, found, err := ledger.ReadBill(ctx, tables, id)
		if found {
			return &bill{RequestID: id, Budget: billRow.Budget, Tokens: billRow.Tokens}, nil
		}
		if !wait.For(ctx, billPollInterval) {
			return nil, trace.LimitExceeded("request %s has no bill after %s (%v)", id, billTimeout, err)
		}
	}
}

// distinctKeys returns the idempotency keys of the sample calls without
// duplicates.
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
