package settings

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

const validSettings = `{
	"name": "r1", "data_centre": "cluj-a", "region": "ro-nord",
	"doors": {"caller": "10.0.0.1:80", "operator": "127.0.0.1:81", "peer": "10.0.0.1:82"},
	"platform": {"address": "10.0.0.9:7000"}
}`

func TestDeployedSettingsAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../deploy/*/*.json")
	is.NoErr(err)
	is.Equal(len(files), 12)
	for _, file := range files {
		_, err := Load(file)
		is.NoErr(err)
	}
}

func TestDefaultsAreApplied(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.VmInstance, "r1")
	is.Equal(s.StopLimit.AsDuration(), 10*time.Minute)
	is.Equal(s.Budget.Release, pb.Release_RELEASE_OPERATOR)
	is.Equal(s.CallerLimits.MaxBodyBytes, int64(4<<20))
	is.Equal(s.Log.Level, "info")
}

func TestUnknownFieldIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(strings.Replace(validSettings, `"region"`, `"colour": 1, "region"`, 1)))
	is.True(strings.Contains(err.Error(), `unknown field "colour"`))
}

func TestEveryFaultIsNamedWithItsPath(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{
		"name": "r 1",
		"doors": {"caller": "10.0.0.1:80", "operator": "10.0.0.1:80", "peer": "0.0.0.0:82"},
		"platform": {"address": "platform:0", "call_timeout": "-1s"},
		"peer_addresses": ["10.0.0.2:82", "10.0.0.2:82", "10.0.0.3:0"],
		"budget": {"loan_horizon": "10800s", "draw_permille": 1001},
		"caller_limits": {"max_body_bytes": 1, "max_header_bytes": 1},
		"routing": {"retry_budget_permille": 2000},
		"log": {"level": "loud"},
		"stop_limit": "0s"
	}`))
	var paths []string
	for _, f := range err.(Faults) {
		paths = append(paths, f.Path)
	}
	is.Equal(paths, []string{
		"name", "data_centre", "region",
		"doors.peer", "doors.operator_token", "doors.operator",
		"platform.address", "platform.call_timeout",
		"peer_addresses[1]", "peer_addresses[2]",
		"budget.draw_permille", "budget.loan_horizon",
		"caller_limits.max_body_bytes", "caller_limits.max_header_bytes",
		"routing.retry_budget_permille", "log.level", "stop_limit",
	})
}

func TestAdvertisedPeerAddress(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(strings.Replace(validSettings, `"peer": `, `"peer_advertised": "10.0.0.1:0", "peer": `, 1)))
	is.True(err != nil) // peers can't call port 0
	is.True(strings.Contains(err.Error(), "doors.peer_advertised"))
	s, err := Parse([]byte(strings.Replace(validSettings, `"peer": `, `"peer_advertised": "10.0.0.7:82", "peer": `, 1)))
	is.NoErr(err)
	is.Equal(s.Doors.PeerAdvertised, "10.0.0.7:82")
}
