package demo

import (
	"fmt"
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/events"
)

// writer prints the progress and results of the demo as text or JSON lines.
type writer struct {
	env  cli.Env
	json bool
}

// The kinds of lines in the JSON output.
type (
	inForceLine struct {
		ConfigVersion uint64 `json:"config_version"`
		Routers       int    `json:"routers"`
	}
	resultLine struct {
		Served *callResult `json:"served"`
	}
	billsLine struct {
		Bills   []bill `json:"bills"`
		Prepaid int64  `json:"prepaid"`
		Spent   int64  `json:"spent"`
		InDoubt int64  `json:"in_doubt"`
	}
	addressesLine struct {
		Routers  []routerAddresses `json:"routers"`
		Platform string            `json:"platform"`
		Curl     string            `json:"curl"`
	}
	routerAddresses struct {
		Name     string `json:"name"`
		Caller   string `json:"caller"`
		Operator string `json:"operator"`
		Peer     string `json:"peer"`
	}
)

func (w writer) inForce(version uint64, routers int) {
	if w.json {
		_ = w.env.PrintJSON(inForceLine{ConfigVersion: version, Routers: routers})
		return
	}
	w.env.Printf("The sheet is in force as version %d at %d routers.\n", version, routers)
}

func (w writer) callStarted(c sampleCall, router string) {
	if w.json {
		return
	}
	w.env.Printf("\n%s: POST /v1/services/%s/%s at %s\n", capitalize(c.description), c.service, c.path, router)
	if c.stream {
		w.env.Printf("  ")
	}
}

// token prints a token as it arrives.
func (w writer) token(content string) {
	if !w.json {
		w.env.Printf("%s", content)
	}
}

func (w writer) result(r *callResult) {
	switch {
	case w.json:
		_ = w.env.PrintJSON(resultLine{Served: r})
	case r.Tokens > 0:
		w.env.Printf("\n  complete: %d tokens; length and digest match the end event\n", r.Tokens)
	case r.Replayed:
		w.env.Printf("  %s (the recorded response; the action did not run again)\n", r.Answer)
	default:
		w.env.Printf("  %s\n", r.Answer)
	}
}

func (w writer) bills(bills []bill, budgetRow *pb.BudgetRow) {
	if w.json {
		_ = w.env.PrintJSON(billsLine{Bills: bills, Prepaid: budgetRow.Prepaid, Spent: budgetRow.Spent, InDoubt: budgetRow.InDoubt})
		return
	}
	w.env.Printf("\nBills in the platform:\n")
	for _, b := range bills {
		w.env.Printf("  %-36s %6d tokens from %s\n", b.RequestID, b.Tokens, b.Budget)
	}
	w.env.Printf("Budget %s: prepaid %d = free %d + granted %d + spent %d + in doubt %d\n", budgetRow.Name, budgetRow.Prepaid, budgetRow.Free, budgetRow.Granted, budgetRow.Spent, budgetRow.InDoubt)
}

func (w writer) timeline(list []*pb.Event) {
	if w.json {
		_ = events.WriteJSON(w.env.Stdout, list)
		return
	}
	w.env.Printf("\nTimeline of the model call:\n")
	events.WriteText(w.env.Stdout, list)
}

func (w writer) addresses(deps *dependencies, fleet *routers) {
	line := addressesLine{Platform: deps.platform.Addr(), Curl: curlLine(fleet.callerAddresses()[0])}
	for i, n := range fleet.nodes {
		line.Routers = append(line.Routers, routerAddresses{Name: fleet.vms[i].Name, Caller: n.CallerAddr(), Operator: n.OperatorAddr(), Peer: n.PeerAddr()})
	}
	if w.json {
		_ = w.env.PrintJSON(line)
		return
	}
	w.env.Printf("\n")
	for _, r := range line.Routers {
		w.env.Printf("%s: callers %s, operators %s, peers %s\n", r.Name, r.Caller, r.Operator, r.Peer)
	}
	w.env.Printf("platform: %s\n\nTry:\n%s\n%s\n%s\n\nStop with Ctrl-C.\n", line.Platform, line.Curl, statusLine(fleet), budgetLine(deps))
}

// curlLine returns a curl command that repeats the streamed model call.
func curlLine(address string) string {
	return fmt.Sprintf("curl -sN http://%s/v1/services/%s/%s -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '%s'", address, modelService, modelCall, workspaceKey, chatBody)
}

// ctlCommand runs cuminrockctl from the root of the repository.
const ctlCommand = "go run ./ctl/cmd/cuminrockctl"

func statusLine(fleet *routers) string {
	return fmt.Sprintf("%s status --routers %s", ctlCommand, strings.Join(fleet.operatorAddresses(), ","))
}

func budgetLine(deps *dependencies) string {
	return fmt.Sprintf("%s budget show --platform %s %s", ctlCommand, deps.platform.Addr(), budgetName)
}

func capitalize(s string) string { return strings.ToUpper(s[:1]) + s[1:] }
