package operator

import (
	"flag"
	"os"
	"time"

	"github.com/gravitational/trace"

	"cuminrock.example/ctl/cli"
)

const (
	// routersVariable and tokenVariable are environment variables that give
	// the flags' defaults.
	routersVariable = "CUMINROCK_ROUTERS"
	tokenVariable   = "CUMINROCK_OPERATOR_TOKEN"
	// defaultTimeout bounds one call of an operator door.
	defaultTimeout = 5 * time.Second
)

// Flags is the command-line flags that name the routers.
type Flags struct {
	routers cli.StringList
	token   string
	timeout time.Duration
}

// SetFlags adds the flags to a command.
func (f *Flags) SetFlags(flags *flag.FlagSet) {
	flags.Var(&f.routers, "routers", "operator doors, `host:port,...` (default $"+routersVariable+")")
	flags.StringVar(&f.token, "token", "", "operator token (default $"+tokenVariable+")")
	flags.DurationVar(&f.timeout, "timeout", defaultTimeout, "longest wait for one router")
}

// Clients returns a client of each router.
func (f *Flags) Clients() ([]*Client, error) {
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
	clients := make([]*Client, len(routers))
	for i, address := range routers {
		clients[i] = New(address, token, f.timeout)
	}
	return clients, nil
}
