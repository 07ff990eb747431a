// Package operatorcmd holds the commands that call the routers' operator API:
// status, timeline and drain.
package operatorcmd

import (
	"github.com/google/subcommands"
	"github.com/sourcegraph/conc/iter"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/operator"
)

// Commands returns the commands status, timeline and drain.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{&statusCommand{env: env}, &timelineCommand{env: env}, &drainCommand{env: env}}
}

// routerResponse is the response of one router.
type routerResponse[T any] struct {
	address string
	value   T
	err     error
}

// queryAll queries all routers concurrently and returns the responses in the order
// of the clients.
func queryAll[T any](clients []*operator.Client, query func(*operator.Client) (T, error)) []routerResponse[T] {
	mapper := iter.Mapper[*operator.Client, routerResponse[T]]{MaxGoroutines: len(clients)}
	return mapper.Map(clients, func(c **operator.Client) routerResponse[T] {
		value, err := query(*c)
		return routerResponse[T]{address: (*c).Address(), value: value, err: err}
	})
}

// printErrors prints the errors of all routers and reports whether there were any.
func printErrors[T any](env cli.Env, command string, responses []routerResponse[T]) bool {
	failed := false
	for _, resp := range responses {
		if resp.err != nil {
			env.Fail(command, resp.err)
			failed = true
		}
	}
	return failed
}
