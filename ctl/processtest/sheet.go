package processtest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// The names in every fleet's sheet.
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
	// CallCost is what a lookup or an action costs, in tokens.
	CallCost = 5
)

const sheetHeader = "record,name,workspace,service,provider,budget,kind,path,key_sha256,permille,tokens,data_centre,address,leaving\n"

// Sheet is the morning sheet of a fleet.
type Sheet struct {
	// Targets are all targets, with their leaving marks.
	Targets []*Target
	// NewProviderPermille is the new provider's share of the model calls.
	NewProviderPermille int
	// TopUps are tokens by the id of the top-up.
	TopUps []TopUp
}

// TopUp is one top-up of the budget.
type TopUp struct {
	ID     string
	Tokens int64
}

// CSV returns the sheet as planners export it.
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
