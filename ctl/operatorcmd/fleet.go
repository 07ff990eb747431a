// Package operatorcmd holds the commands that ask the routers' operator
// doors: status, timeline and drain.
package operatorcmd

import (
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc/iter"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/operator"
)

const (
	// routersVariable and tokenVariable are environment variables that give
	// the flags' defaults.
	routersVariable = "CUMINROCK_ROUTERS"
	tokenVariable   = "CUMINROCK_OPERATOR_TOKEN"
	// defaultTimeout bounds one call of an operator door.
	defaultTimeout = 5 * time.Second
)

// Commands returns status, timeline and drain.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{&status{env: env}, &timelineCommand{env: env}, &drain{env: env}}
}

// fleet is the flags that name the routers.
type fleet struct {
	routers cli.List
	token   string
	timeout time.Duration
}

func (f *fleet) set(flags *flag.FlagSet) {
	flags.Var(&f.routers, "routers", "operator doors, `host:port,...` (default $"+routersVariable+")")
	flags.StringVar(&f.token, "token", "", "operator token (default $"+tokenVariable+")")
	flags.DurationVar(&f.timeout, "timeout", defaultTimeout, "longest wait for one router")
}

// clients returns a client of each router.
func (f *fleet) clients() ([]*operator.Client, error) {
	routers := f.routers
	if len(routers) == 0 && os.Getenv(routersVariable) != "" {
		_ = routers.Set(os.Getenv(routersVariable))
	}
	if len(routers) == 0 {
		return nil, trace.BadParameter("--routers or $%s is required", routersVariable)
	}
	token := f.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	clients := make([]*operator.Client, len(routers))
	for i, address := range routers {
		clients[i] = operator.New(address, token, f.timeout)
	}
	return clients, nil
}

// asked is one router's answer.
type asked[T any] struct {
	address string
	answer  T
	err     error
}

// askAll asks all routers at the same time and returns the answers in order.
func askAll[T any](clients []*operator.Client, ask func(*operator.Client) (T, error)) []asked[T] {
	mapper := iter.Mapper[*operator.Client, asked[T]]{MaxGoroutines: len(clients)}
	return mapper.Map(clients, func(c **operator.Client) asked[T] {
		answer, err := ask(*c)
		return asked[T]{address: (*c).Address(), answer: answer, err: err}
	})
}

// tellFailures writes the errors and tells whether there were any.
func tellFailures[T any](env cli.Env, command string, answers []asked[T]) bool {
	failed := false
	for _, a := range answers {
		if a.err != nil {
			env.Fail(command, a.err)
			failed = true
		}
	}
	return failed
}
