// Package operatorcmd holds the commands that ask the routers' operator
// doors: status, timeline and drain.
package operatorcmd

import (
	"github.com/google/subcommands"
	"github.com/sourcegraph/conc/iter"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/operator"
)

// Commands returns status, timeline and drain.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{&status{env: env}, &timelineCommand{env: env}, &drain{env: env}}
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
