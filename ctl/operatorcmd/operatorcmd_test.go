package operatorcmd

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/ctl/cli"
)

const token = "secret"

// startOperatorAPI serves an operator API with fixed responses and returns its
// address.
func startOperatorAPI(t *testing.T, status string, list *pb.EventList) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(status)) })
	mux.HandleFunc("GET /timeline", func(w http.ResponseWriter, _ *http.Request) {
		body, _ := protojson.Marshal(list)
		w.Write(body)
	})
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+token {
			w.WriteHeader(http.StatusUnauthorized)
			w.Write([]byte(`{"error":{"kind":"unauthorized","message":"no token"}}`))
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run executes a command and returns its output and exit code.
func run(args ...string) (stdout, stderr string, exit subcommands.ExitStatus) {
	var out, errs bytes.Buffer
	flags := flag.NewFlagSet("cuminrockctl", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "cuminrockctl")
	commander.Output, commander.Error = &out, &errs
	for _, c := range Commands(cli.Env{Stdout: &out, Stderr: &errs}) {
		commander.Register(c, "")
	}
	if flags.Parse(args) != nil {
		return "", "", cli.ExitUsageError
	}
	exit = commander.Execute(context.Background())
	return out.String(), errs.String(), exit
}

func TestStatusExitCodeReportsHealth(t *testing.T) {
	is := is.New(t)
	a := startOperatorAPI(t, `{"name":"a","data_centre":"dc-1","ready":true,"config_version":4}`, nil)
	b := startOperatorAPI(t, `{"name":"b","ready":true,"config_version":4,"members":[{"name":"a"}]}`, nil)
	behind := startOperatorAPI(t, `{"name":"old","ready":true,"config_version":3}`, nil)
	notReady := startOperatorAPI(t, `{"name":"lost","ready":false,"reason":"no configuration"}`, nil)
	out, _, exit := run("status", "-token", token, "-routers", a+","+b)
	is.Equal(exit, cli.ExitSuccess)
	is.True(strings.Contains(out, "dc-1"))
	_, _, exit = run("status", "-token", token, "-routers", a+","+behind)
	is.Equal(exit, cli.ExitFailure)
	out, _, exit = run("status", "-json", "-token", token, "-routers", notReady)
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, `"reason":"no configuration"`))
	out, _, exit = run("status", "-routers", a)
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, "unauthorized"))
	_, _, exit = run("status")
	is.Equal(exit, cli.ExitUsageError)
}

func newEvent(ms int64, router, request string) *pb.Event {
	return &pb.Event{
		Time:      &pb.HybridTime{WallNs: ms * int64(time.Millisecond)},
		Router:    router,
		Kind:      pb.EventKind_EVENT_KIND_DISPATCHED,
		RequestId: request,
	}
}

func TestTimelineMergesAndFilters(t *testing.T) {
	is := is.New(t)
	a := startOperatorAPI(t, "", &pb.EventList{Events: []*pb.Event{newEvent(1, "a", "r1"), newEvent(3, "a", "r1"), newEvent(4, "a", "r2")}})
	b := startOperatorAPI(t, "", &pb.EventList{Events: []*pb.Event{newEvent(2, "b", "r1")}})
	out, _, exit := run("timeline", "-token", token, "-routers", a+","+b, "-request", "r1")
	is.Equal(exit, cli.ExitSuccess)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.Contains(lines[1], " b "))
	is.True(strings.Contains(lines[0], "dispatched"))
	out, _, exit = run("timeline", "-token", token, "-routers", a+","+b, "-json", "-limit", "1")
	is.Equal(exit, cli.ExitSuccess)
	is.True(strings.Contains(out, "r2"))
	out, errs, exit := run("timeline", "-token", token, "-routers", a+",127.0.0.1:1")
	is.Equal(exit, cli.ExitFailure) // the events of the routers that respond are printed
	is.True(strings.Contains(out, "r1"))
	is.True(strings.Contains(errs, "127.0.0.1:1"))
	_, _, exit = run("timeline", "-token", token, "-routers", a, "-since", "yesterday")
	is.Equal(exit, cli.ExitUsageError)
	_, _, exit = run("timeline", "-token", token, "-routers", a, "-request", "none")
	is.Equal(exit, cli.ExitFailure)
}

func TestDrainWaitsForStop(t *testing.T) {
	is := is.New(t)
	a := startOperatorAPI(t, `{"name":"a"}`, nil)
	out, _, exit := run("drain", "-token", token, "-routers", a)
	is.Equal(exit, cli.ExitSuccess)
	is.Equal(strings.TrimSpace(out), a+" draining")
	out, _, exit = run("drain", "-token", token, "-routers", a, "-wait", "50ms")
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, "not stopped"))
}
