package budgetcmd

import (
	"context"
	"flag"
	"strconv"

	"github.com/gravitational/trace"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/platformclient"
)

// changeResult is the result of an operation that changes a budget.
type changeResult struct {
	Budget string `json:"budget"`
	// Action is topped_up, closed or released.
	Action string `json:"action"`
	// Tokens is the number of tokens moved.
	Tokens int64 `json:"tokens"`
	// Applied is false if there was nothing to do.
	Applied bool `json:"applied"`
	// Done is true if the budget is in the requested state.
	Done bool `json:"done"`
	// Sentence describes the result in the text output.
	Sentence string `json:"sentence"`
}

func (c *changeResult) failed() bool { return !c.Done }

func (c *changeResult) printText(env cli.Env) { env.Printf("%s: %s\n", c.Budget, c.Sentence) }

// topUp adds tokens to a budget manually.
type topUp struct {
	id     string
	budget string
	tokens int64
}

func (t *topUp) help() (name, arguments, synopsis string) {
	return "top-up", "BUDGET TOKENS", "add tokens; a negative amount lowers the budget; idempotent: a top-up with the same --id takes effect once"
}

func (t *topUp) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.id, "id", "", "`id` of the top-up, its idempotency key; required")
}

func (t *topUp) parseArgs(args []string) error {
	if len(args) != 2 || t.id == "" {
		return trace.BadParameter("top-up needs --id, a BUDGET and TOKENS")
	}
	var err error
	t.budget = args[0]
	t.tokens, err = strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return trace.BadParameter("%q is not a number of tokens", args[1])
	}
	return nil
}

func (t *topUp) run(ctx context.Context, p platformclient.Platform) (result, error) {
	applied, err := ledger.TopUp(ctx, p, t.id, t.budget, t.tokens)
	if err != nil {
		return nil, err
	}
	res := &changeResult{Budget: t.budget, Action: "topped_up", Tokens: t.tokens, Applied: applied, Done: true, Sentence: "topped up"}
	if !applied {
		res.Sentence = "this top-up was already applied"
	}
	return res, nil
}

// closeGrant closes the grant of a dead or paused router.
type closeGrant struct {
	budget string
	grant  string
}

func (c *closeGrant) help() (name, arguments, synopsis string) {
	return "close-grant", "BUDGET GRANT", "close the grant of a dead or paused router; its outstanding tokens become tokens in doubt"
}

func (c *closeGrant) setFlags(*flag.FlagSet) {}

func (c *closeGrant) parseArgs(args []string) error {
	if len(args) != 2 {
		return trace.BadParameter("close-grant needs a BUDGET and a GRANT")
	}
	c.budget = args[0]
	c.grant = args[1]
	return nil
}

func (c *closeGrant) run(ctx context.Context, p platformclient.Platform) (result, error) {
	tokens, err := ledger.CloseGrant(ctx, p, c.budget, c.grant)
	if err != nil {
		return nil, err
	}
	sentence := "grant closed, " + strconv.FormatInt(tokens, 10) + " tokens in doubt"
	return &changeResult{Budget: c.budget, Action: "closed", Tokens: tokens, Applied: tokens > 0, Done: true, Sentence: sentence}, nil
}

// release resolves tokens in doubt.
type release struct {
	budget string
	doubt  string
	as     string
	gone   cli.StringList
}

// Values of --as.
const (
	asUnspent = "unspent"
	asSpent   = "spent"
)

func (r *release) help() (name, arguments, synopsis string) {
	return "release", "BUDGET DOUBT", "resolve tokens in doubt. Tokens that a live router could still bill stay in doubt; exits 1 if nothing was released"
}

func (r *release) setFlags(f *flag.FlagSet) {
	f.StringVar(&r.as, "as", "", "resolution: `unspent` returns the tokens to the free amount, spent counts them as spent; required")
	f.Var(&r.gone, "gone", "VM `instances` that are known to be permanently gone")
}

func (r *release) parseArgs(args []string) error {
	if len(args) != 2 {
		return trace.BadParameter("release needs a BUDGET and a DOUBT")
	}
	if r.as != asUnspent && r.as != asSpent {
		return trace.BadParameter("--as must be %s or %s", asUnspent, asSpent)
	}
	r.budget = args[0]
	r.doubt = args[1]
	return nil
}

func (r *release) run(ctx context.Context, p platformclient.Platform) (result, error) {
	resolution := budget.ResolveUnspent
	if r.as == asSpent {
		resolution = budget.ResolveSpent
	}
	tokens, err := ledger.ReleaseDoubt(ctx, p, r.budget, r.doubt, resolution, r.gone)
	if err != nil {
		return nil, err
	}
	sentence := strconv.FormatInt(tokens, 10) + " tokens released as " + r.as
	return &changeResult{Budget: r.budget, Action: "released", Tokens: tokens, Applied: tokens > 0, Done: tokens > 0, Sentence: sentence}, nil
}
