package processtest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// The names in the sheet of every fleet.
const (
	ModelService = "model-pool"
	PlainService = "registry-app"
	ModelPath    = "v1/chat/completions"
	LookupPath   = "lookup"
	ActionPath   = "correct"
	Workspace    = "archive"
	BearerKey    = "archive-key"
	BudgetName   = "archive-2026"
	OldProvider  = "old"
	NewProvider  = "new"
	// CallCost is the cost of a lookup or an action in tokens.
	CallCost = 5
)

const sheetHeader = "record,name,workspace,service,provider,budget,kind,path,key_sha256,permille,tokens,data_centre,address,leaving\n"

// Sheet holds those parts of a fleet's sheet that the tests vary.
type Sheet struct {
	// Targets are all targets, including those marked as leaving.
	Targets []*Target
	// NewProviderPermille is the new provider's share of the model calls, in
	// parts per thousand.
	NewProviderPermille int
	// TopUps are the top-ups of the budget.
	TopUps []TopUp
}

// TopUp adds tokens to the budget. A top-up takes effect once for each ID.
type TopUp struct {
	ID     string
	Tokens int64
}

// CSV returns the sheet in the CSV format that planners export.
func (s Sheet) CSV() []byte {
	var b strings.Builder
	b.WriteString(sheetHeader)
	fmt.Fprintf(&b, "service,%s,,,%s,,model,,,,,,,\n", ModelService, OldProvider)
	fmt.Fprintf(&b, "call,,,%s,,,model,%s,,,,,,\n", ModelService, ModelPath)
	fmt.Fprintf(&b, "service,%s,,,%s,,plain,,,,,,,\n", PlainService, OldProvider)
	fmt.Fprintf(&b, "call,,,%s,,,lookup,%s,,,%d,,,\n", PlainService, LookupPath, CallCost)
	fmt.Fprintf(&b, "call,,,%s,,,action,%s,,,%d,,,\n", PlainService, ActionPath, CallCost)
	for _, g := range s.Targets {
		fmt.Fprintf(&b, "target,%s,,%s,%s,,,,,,,%s,%s,%s\n", g.Name, g.Service, g.Provider, g.Centre, g.ready.Address, yesNo(g.Leaving))
	}
	key := sha256.Sum256([]byte(BearerKey))
	fmt.Fprintf(&b, "workspace,%s,,,,%s,,,%s,,,,,\n", Workspace, BudgetName, hex.EncodeToString(key[:]))
	fmt.Fprintf(&b, "budget,%s,%s,,,,,,,,,,,\n", BudgetName, Workspace)
	if s.NewProviderPermille > 0 {
		fmt.Fprintf(&b, "shift,,%s,%s,%s,,,,,%d,,,,\n", Workspace, ModelService, OldProvider, 1000-s.NewProviderPermille)
		fmt.Fprintf(&b, "shift,,%s,%s,%s,,,,,%d,,,,\n", Workspace, ModelService, NewProvider, s.NewProviderPermille)
	}
	for _, u := range s.TopUps {
		fmt.Fprintf(&b, "top-up,%s,,,,%s,,,,,%d,,,\n", u.ID, BudgetName, u.Tokens)
	}
	return []byte(b.String())
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
