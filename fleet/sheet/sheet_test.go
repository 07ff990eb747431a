package sheet

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
)

const (
	clujSheet     = "../../deploy/cluj/sheet.csv"
	kingstonSheet = "../../deploy/kingston/sheet.csv"
)

func readSample(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	return string(data)
}

func parse(t *testing.T, text string) *Sheet {
	t.Helper()
	s, err := Parse([]byte(text))
	is.New(t).NoErr(err)
	return s
}

// inForce returns the view that results from applying a sheet to the empty view.
func inForce(t *testing.T, text string) *config.View {
	t.Helper()
	is := is.New(t)
	plan, err := NewPlan(config.Empty(), parse(t, text), nil)
	is.NoErr(err)
	view, err := config.Empty().Apply(plan.Change)
	is.NoErr(err)
	return view
}

func TestSampleSheetsAreValidAndIdempotent(t *testing.T) {
	for _, path := range []string{clujSheet, kingstonSheet} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			text := readSample(t, path)
			s := parse(t, text)
			is.True(s.DeclaresAllKinds())
			is.NoErr(Check(s))
			applied := make(TopUpIndex)
			for _, topUp := range s.TopUps {
				applied[topUp.ID] = &pb.TopUpRow{Id: topUp.ID, Budget: topUp.Budget, Tokens: topUp.Tokens}
			}
			again, err := NewPlan(inForce(t, text), parse(t, text), applied)
			is.NoErr(err)
			is.True(again.Empty())
		})
	}
}

func TestLineOrderDoesNotMatter(t *testing.T) {
	is := is.New(t)
	text := readSample(t, clujSheet)
	view := inForce(t, text)
	lines := strings.Split(strings.TrimSpace(text), "\n")
	var moved []string
	for _, line := range lines {
		if strings.HasPrefix(line, "call,") {
			continue
		}
		moved = append(moved, line)
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(lines[i], "call,") {
			moved = append(moved, lines[i])
		}
	}
	plan, err := NewPlan(view, parse(t, strings.Join(moved, "\r\n")), nil)
	is.NoErr(err)
	is.True(plan.Change == nil)

	w, _ := view.Workspace("schools")
	sums := fmt.Sprintf("%x", w.KeySha256[0])
	extra := strings.Repeat("ab", sha256Bytes)
	view = inForce(t, strings.Replace(text, sums, sums+" "+extra, 1))
	plan, err = NewPlan(view, parse(t, strings.Replace(text, sums, extra+" "+sums, 1)), nil)
	is.NoErr(err)
	is.True(plan.Change == nil)
}

func TestEveryInvalidLineIsReported(t *testing.T) {
	is := is.New(t)
	text := `record,name,workspace,service,provider,budget,kind,permille,tokens,key_sha256,priority,colour
workspace,,,,,,,,,zz,urgent,
budget,daily,schools,,,,,,5,,,
top-up,t1,,,,daily,,,many,,,
top-up,t2,,,,daily,,,0,,,
shift,,*,model-pool,old,,,1001,,,,
nonsense,x,,,,,,,,,,
workspace,"quoted" text,,,,,,,,,,
budget,daily,schools,,,,,,,,,
call,,,nowhere,,,action,,1,,,
`
	_, err := Parse([]byte(text))
	faults := err.(Faults)
	got := make([]string, len(faults))
	for i, f := range faults {
		got[i] = strings.Join([]string{strings.SplitN(f.String(), ":", 2)[0]}, "")
	}
	is.Equal(got, []string{
		"line 1, column colour",
		"line 2, column name",
		"line 2, column key_sha256",
		"line 2, column priority",
		"line 3, column tokens",
		"line 4, column tokens",
		"line 5, column tokens",
		"line 6, column permille",
		"line 7, column record",
		"line 8",
		"line 9, column name",
		"line 10, column path",
		"line 10, column service",
	})
}

func TestReferencesAreChecked(t *testing.T) {
	good := readSample(t, clujSheet)
	cases := []struct{ name, old, new, want string }{
		{"shares", "model-pool,old,,,,,,700", "model-pool,old,,,,,,701", "column permille: service model-pool: the shares"},
		{"own shares", "notaries-office,model-pool,old,,,,,,1000", "notaries-office,model-pool,old,,,,,,999", "column permille: workspace notaries-office"},
		{"provider", ",model-pool,new,,,,,,300", ",model-pool,newer,,,,,,300", "column permille: service model-pool: provider"},
		{"workspace of a shift", "shift,,old-scripts", "shift,,older-scripts", "column workspace: workspace older-scripts"},
		{"default budget", "counter-service-daily,,,interactive", "schools-daily,,,interactive", "column budget: workspace counter-service: budget"},
		{"budget of a top-up", ",,,,schools-daily,,,,,,800000", ",,,,schools-nightly,,,,,,800000", "column budget: budget schools-nightly"},
		{"workspace of a budget", "budget,schools-reserve,schools", "budget,schools-reserve,school", "column workspace: budget schools-reserve"},
		{"address", "10.20.1.104:9000", "10.20.1.101:9000", "column address: target model-pool-old-04"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			bad := strings.Replace(good, c.old, c.new, 1)
			is.True(bad != good)
			err := Check(parse(t, bad))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
			is.True(strings.HasPrefix(err.Error(), "line "))
		})
	}
}

func TestOmissionRemovesOnlyRecordsOfDeclaredKinds(t *testing.T) {
	is := is.New(t)
	view := inForce(t, readSample(t, clujSheet))
	text := "record,name,workspace,service,provider,permille\n" +
		"shift,,*,model-pool,old,100\n" +
		"shift,,*,model-pool,new,900\n"
	plan, err := NewPlan(view, parse(t, text), nil)
	is.NoErr(err)
	is.Equal(plan.Count(Remove), 0)
	// The default shares of the service change, and two workspaces lose their
	// own shares.
	is.Equal(plan.Count(Alter), 3)

	budgets := "record,name,workspace\n"
	for _, w := range []string{"counter-service", "citizens-portal", "notaries-office", "schools", "parish-registers", "civil-records", "old-scripts", "family-trees", "research-desk", "archive-staff"} {
		budgets += "budget," + w + "-daily," + w + "\n"
	}
	plan, err = NewPlan(view, parse(t, budgets), nil)
	is.NoErr(err)
	is.Equal(plan.Count(Remove), 10)
	is.Equal(len(plan.Items), 10)
}

// An old provider must be retired in order: its share goes to zero, its targets
// are marked as leaving, then its lines are removed. A step that comes too early
// is a fault, because the workspaces that still have a share on the provider
// would lose service.
func TestProviderRetirementOrder(t *testing.T) {
	is := is.New(t)
	text := readSample(t, clujSheet)
	leaving := func(text string) string {
		lines := strings.SplitAfter(text, "\n")
		for i, line := range lines {
			if strings.HasPrefix(line, "target,model-pool-old-") {
				lines[i] = strings.TrimSuffix(line, "no,\n") + "no,yes\n"
			}
		}
		return strings.Join(lines, "")
	}
	err := Check(parse(t, leaving(text)))
	is.True(strings.Contains(err.Error(), `provider "old" has no target that takes new work for service "model-pool"`))

	zero := strings.NewReplacer("old,,,,,,700", "old,,,,,,0", "new,,,,,,300", "new,,,,,,1000",
		"old,,,,,,1000", "old,,,,,,0", "new,,,,,,0", "new,,,,,,1000", "old,,,,,,200", "old,,,,,,0", "new,,,,,,800", "new,,,,,,1000").Replace(text)
	is.NoErr(Check(parse(t, zero)))
	is.NoErr(Check(parse(t, leaving(zero))))
}

func TestRemovingBudgetInUseIsAFault(t *testing.T) {
	is := is.New(t)
	view := inForce(t, readSample(t, clujSheet))
	_, err := NewPlan(view, parse(t, "record;name;workspace\nbudget;schools-daily;schools\n"), nil)
	is.True(strings.Contains(err.Error(), `budget "counter-service-daily" doesn't exist (in force, and not in this sheet)`))
}

func TestAppliedTopUpCannotChange(t *testing.T) {
	is := is.New(t)
	view := inForce(t, readSample(t, clujSheet))
	applied := TopUpIndex{"t1": &pb.TopUpRow{Id: "t1", Budget: "schools-daily", Tokens: 5}}
	header := "record,name,budget,tokens\n"
	plan, err := NewPlan(view, parse(t, header+"top-up,t1,schools-daily,5\ntop-up,t2,schools-daily,-7\n"), applied)
	is.NoErr(err)
	is.Equal(plan.AppliedTopUps, 1)
	is.Equal(len(plan.TopUps), 1)
	is.True(strings.Contains(plan.Report().Text(), "^ top-up t2: budget schools-daily, -7 tokens"))

	_, err = NewPlan(view, parse(t, header+"top-up,t1,schools-reserve,6\n"), applied)
	is.Equal(len(err.(Faults)), 2)
}

func TestLineAndReferenceFaultsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	text := readSample(t, clujSheet)
	text = strings.Replace(text, "model-pool,old,,,,,,700", "model-pool,old,,,,,,many", 1)
	text = strings.Replace(text, "budget,schools-reserve,schools", "budget,schools-reserve,school", 1)
	s, err := Parse([]byte(text))
	is.Equal(len(err.(Faults)), 1)
	is.Equal(len(AddReferenceFaults(s, err).(Faults)), 2)
}

func FuzzParse(f *testing.F) {
	f.Add("record,name\nbudget,a\n")
	f.Add("record;name;workspace\nbudget;a;b\n")
	f.Add("\xef\xbb\xbfrecord,name,tokens,budget\n#\ntop-up,\"a\nb\",9223372036854775807,c\n")
	f.Add("record,record\n\"")
	f.Add(`record,name,service,provider,kind,path,data_centre,address,workspace,budget,key_sha256,permille,tokens
service,m,,old,model,,,,,,,,
call,,m,,model,p,,,,,,,
target,t,m,old,,,a,10.0.0.1:1,,,,,
workspace,w,,,,,,,,b,0000000000000000000000000000000000000000000000000000000000000000,,
budget,b,,,,,,,w,,,,
shift,,m,old,,,,,*,,,1000,
top-up,t,,,,,,,,b,,,7
`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if err != nil {
			if len(err.(Faults)) == 0 {
				t.Fatal("Parse returned an error without faults")
			}
			return
		}
		again, err := Parse([]byte(text))
		if err != nil || len(again.TopUps) != len(s.TopUps) {
			t.Fatal("parsing the same sheet again gave a different result")
		}
		plan, err := NewPlan(config.Empty(), s, nil)
		if err != nil || plan.Change == nil {
			return
		}
		view, err := config.Empty().Apply(proto.CloneOf(plan.Change))
		if err != nil {
			t.Fatal(err)
		}
		repeat, err := NewPlan(view, s, nil)
		if err != nil || repeat.Change != nil {
			t.Fatalf("applying the same sheet again changes the configuration: %v %v", err, repeat)
		}
	})
}
