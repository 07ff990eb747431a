package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"cuminrock.example/fleet/sheet"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/platformclient"
)

// Names and amounts in the demo's sheet.
const (
	workspaceName = "counter-service"
	workspaceKey  = "demo-key"
	budgetName    = "counter-service-daily"
	prepaidTokens = 1_000_000
	modelService  = "model-pool"
	plainService  = "registry-app"
	modelCall     = "v1/chat/completions"
	lookupCall    = "find-record"
	actionCall    = "issue-certificate"
	author        = "demo"
)

// sheetText returns the CSV sheet of the demo, which declares its targets and
// splits the model traffic evenly between the old and the new provider.
func sheetText(targets []runningTarget) string {
	sum := sha256.Sum256([]byte(workspaceKey))
	var text strings.Builder
	line := func(fields ...string) { fmt.Fprintln(&text, strings.Join(fields, ",")) }
	line("record", "name", "workspace", "service", "provider", "budget", "kind", "path", "priority", "key_sha256", "permille", "tokens", "data_centre", "address")
	line("service", modelService, "", "", "old", "", "model")
	line("call", "", "", modelService, "", "", "model", modelCall)
	line("service", plainService, "", "", "local", "", "plain")
	line("call", "", "", plainService, "", "", "lookup", lookupCall, "", "", "", "20")
	line("call", "", "", plainService, "", "", "action", actionCall, "", "", "", "200")
	for _, t := range targets {
		line("target", t.name, "", t.service, t.provider, "", "", "", "", "", "", "", t.dataCentre, t.address)
	}
	line("workspace", workspaceName, "", "", "", budgetName, "", "", "interactive", hex.EncodeToString(sum[:]))
	line("budget", budgetName, workspaceName)
	line("shift", "", workspaceName, modelService, "old", "", "", "", "", "", "500")
	line("shift", "", workspaceName, modelService, "new", "", "", "", "", "", "500")
	line("top-up", "demo-morning", "", "", "", budgetName, "", "", "", "", "", fmt.Sprint(prepaidTokens))
	return text.String()
}

// applySheet appends the sheet as the next version of the configuration,
// applies its top-ups and returns the version.
func applySheet(ctx context.Context, p platformclient.Platform, text string) (uint64, error) {
	parsed, err := sheet.Parse([]byte(text))
	if err != nil {
		return 0, trace.Wrap(err, "reading the sheet")
	}
	view, err := configlog.Load(ctx, p)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	plan, err := sheet.NewPlan(view, parsed, nil)
	if err != nil {
		return 0, trace.Wrap(err, "planning the sheet")
	}
	version, err := configlog.Append(ctx, p, author, plan.Change)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	for _, t := range plan.TopUps {
		_, err = ledger.TopUp(ctx, p, t.ID, t.Budget, t.Tokens)
		if err != nil {
			return 0, trace.Wrap(err)
		}
	}
	return version, nil
}
