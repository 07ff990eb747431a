// Command cuminrockctl is the command-line tool for operators of cuminrock.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"cuminrock.example/ctl/budgetcmd"
	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/configcmd"
	"cuminrock.example/ctl/demo"
	"cuminrock.example/ctl/emulatecmd"
	"cuminrock.example/ctl/loadcmd"
	"cuminrock.example/ctl/operatorcmd"
	"cuminrock.example/ctl/sheetcmd"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/platformclient"
)

func main() {
	os.Exit(int(run()))
}

func run() subcommands.ExitStatus {
	env := cli.OS()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	register("demo", demo.Commands(env))
	register("stand-ins", emulatecmd.Commands(env))
	register("load", loadcmd.Commands(env))
	register("budgets", budgetcmd.Commands(env))
	register("fleet", operatorcmd.Commands(env))
	register("configuration", configcmd.Commands(env))
	register("sheet", sheetcmd.Commands(sheetcmd.Options{TopUps: sheetcmd.TopUpFuncs{RowKey: budget.TopUpKey, Apply: topUp}}))
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return subcommands.Execute(ctx)
}

func register(group string, commands []subcommands.Command) {
	for _, c := range commands {
		subcommands.Register(c, group)
	}
}

// topUp applies a top-up of a sheet. It does nothing if the top-up was already
// applied.
func topUp(ctx context.Context, tables platformclient.TableStore, id, budgetName string, tokens int64) error {
	_, err := ledger.TopUp(ctx, tables, id, budgetName, tokens)
	return err
}
