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

// changed is what the operations that change a budget print.
type changed struct {
	Budget string `json:"budget"`
	// Action is topped_up, closed or released.
	Action string `json:"action"`
	// Tokens that were moved.
	Tokens int64 `json:"tokens"`
	// Applied is false where there was nothing to do.
	Applied bool `json:"applied"`
	// Done is true where the budget stands as it was asked for.
	Done bool `json:"done"`
	// Sentence tells it to people.
	Sentence string `json:"sentence"`
}

func (c *changed) negative() bool { return !c.Done }

func (c *changed) text(env cli.Env) { env.Printf("%s: %s\n", c.Budget, c.Sentence) }

// topUp adds tokens by hand.
type topUp struct {
	id     string
	budget string
	tokens int64
}

func (t *topUp) texts() (name, arguments, synopsis string) {
	return "top-up", "BUDGET TOKENS", "add tokens once per --id; a negative amount lowers the budget; the same top-up again changes nothing"
}

func (t *topUp) flags(f *flag.FlagSet) {
	f.StringVar(&t.id, "id", "", "`id` of the top-up, by which it takes effect once; required")
}

func (t *topUp) read(args []string) error {
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
	done := &changed{Budget: t.budget, Action: "topped_up", Tokens: t.tokens, Applied: applied, Done: true, Sentence: "topped up"}
	if !applied {
		done.Sentence = "this top-up has taken effect"
	}
	return done, nil
}

// closeGrant closes the grant of a holder that is dead or paused.
type closeGrant struct {
	budget string
	grant  string
}

func (c *closeGrant) texts() (name, arguments, synopsis string) {
	return "close-grant", "BUDGET GRANT", "close a dead or paused router's grant; what it has outstanding is in doubt then"
}

func (c *closeGrant) flags(*flag.FlagSet) {}

func (c *closeGrant) read(args []string) error {
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
	return &changed{Budget: c.budget, Action: "closed", Tokens: tokens, Applied: tokens > 0, Done: true, Sentence: sentence}, nil
}

// release decides tokens in doubt.
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

func (r *release) texts() (name, arguments, synopsis string) {
	return "release", "BUDGET DOUBT", "decide tokens in doubt. What a live router could still bill stays in doubt; exits 1 where nothing was released"
}

func (r *release) flags(f *flag.FlagSet) {
	f.StringVar(&r.as, "as", "", "`unspent` returns the tokens to free, spent counts them as spent; required")
	f.Var(&r.gone, "gone", "VM `instances` that are known to be gone for good")
}

func (r *release) read(args []string) error {
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
	decision := budget.ResolveUnspent
	if r.as == asSpent {
		decision = budget.ResolveSpent
	}
	tokens, err := ledger.ReleaseDoubt(ctx, p, r.budget, r.doubt, decision, r.gone)
	if err != nil {
		return nil, err
	}
	sentence := strconv.FormatInt(tokens, 10) + " tokens released as " + r.as
	return &changed{Budget: r.budget, Action: "released", Tokens: tokens, Applied: tokens > 0, Done: tokens > 0, Sentence: sentence}, nil
}
