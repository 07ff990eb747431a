package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validGatewaySettings = `{"name":"g","data_centre":"z","doors":{"caller":"10.0.0.1:80","readiness":"10.0.0.1:81","metrics":"10.0.0.1:82"},
 "store_address":"10.0.0.9:1","retries":{"ratio":0.2},"times":{"stop_s":8},"memory_mib":134}`

func TestValidGatewaySettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseGateway([]byte(validGatewaySettings))
	is.NoErr(err)
	is.Equal(s.Times.StopS, 8.0)
	is.Equal(s.Log.Level, "info")
	is.Equal(s.ColdOvershoot, 1.0) // the safest choice
	is.Equal(s.ColdStartSlack, 0.0)
	is.Equal(len(s.DataCentreRegions), 0)
	for value, want := range map[string]string{`null`: "", `{}`: "", `{"z":"eu"}`: "eu"} {
		s, err = ParseGateway([]byte(strings.Replace(validGatewaySettings, `"memory_mib"`, `"data_centre_regions":`+value+`,"memory_mib"`, 1)))
		is.NoErr(err)
		is.Equal(s.DataCentreRegions["z"], want)
	}
}

func TestAdmissionIsSwitchedOnBySettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseGateway([]byte(strings.Replace(validGatewaySettings, `"memory_mib"`, `"admission":true,"memory_mib"`, 1)))
	is.NoErr(err)
	is.True(s.Admission)
}

func TestFaultsOfGatewaySettingsAreNamed(t *testing.T) {
	is := is.New(t)
	_, err := ParseGateway([]byte(`{}`))
	for _, path := range []string{"name", "data_centre", "doors.caller", "doors.readiness", "doors.metrics", "store_address", "times.stop_s", "memory_mib"} {
		is.True(strings.Contains(err.Error(), path+":"))
	}
	_, err = ParseGateway([]byte(strings.Replace(validGatewaySettings, `"metrics"`, `"peer":"nowhere","metrics"`, 1)))
	is.True(strings.Contains(err.Error(), "doors.peer"))
	_, err = ParseGateway([]byte(strings.Replace(validGatewaySettings, `"memory_mib"`, `"link_mbps":-1,"memory_mib"`, 1)))
	is.True(strings.Contains(err.Error(), "link_mbps"))
	_, err = ParseGateway([]byte(strings.Replace(validGatewaySettings, `"memory_mib"`, `"cold_overshoot":-1,"cold_start_slack":-1,"memory_mib"`, 1)))
	is.True(strings.Contains(err.Error(), "cold_overshoot"))
	is.True(strings.Contains(err.Error(), "cold_start_slack"))
	_, err = ParseGateway([]byte(strings.Replace(validGatewaySettings, "0.2", "2", 1)))
	is.True(strings.Contains(err.Error(), "retries.ratio"))
	_, err = ParseGateway([]byte(strings.Replace(validGatewaySettings, `"name"`, `"nome"`, 1)))
	is.True(err != nil) // Unknown fields are refused.
}
