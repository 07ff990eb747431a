package operator

import (
	"flag"
	"os"
	"time"

	"github.com/gravitational/trace"

	"cuminrock.example/ctl/cli"
)

const (
	// routersEnvVar and tokenEnvVar are the environment variables that hold
	// the defaults of the flags.
	routersEnvVar = "CUMINROCK_ROUTERS"
	tokenEnvVar   = "CUMINROCK_OPERATOR_TOKEN"
	// defaultTimeout bounds one call to an operator API.
	defaultTimeout = 5 * time.Second
)

// Flags holds the command-line flags that select the routers.
type Flags struct {
	routers cli.StringList
	token   string
	timeout time.Duration
}

// SetFlags adds the flags to a flag set.
func (f *Flags) SetFlags(flags *flag.FlagSet) {
	flags.Var(&f.routers, "routers", "operator APIs of the routers, `host:port,...` (default $"+routersEnvVar+")")
	flags.StringVar(&f.token, "token", "", "operator token (default $"+tokenEnvVar+")")
	flags.DurationVar(&f.timeout, "timeout", defaultTimeout, "timeout of one call to a router")
}

// Clients returns a client for each router.
func (f *Flags) Clients() ([]*Client, error) {
	routers := f.routers
	if len(routers) == 0 && os.Getenv(routersEnvVar) != "" {
		_ = routers.Set(os.Getenv(routersEnvVar))
	}
	if len(routers) == 0 {
		return nil, trace.BadParameter("--routers or $%s is required", routersEnvVar)
	}
	token := f.token
	if token == "" {
		token = os.Getenv(tokenEnvVar)
	}
	clients := make([]*Client, len(routers))
	for i, address := range routers {
		clients[i] = New(address, token, f.timeout)
	}
	return clients, nil
}
