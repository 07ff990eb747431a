package settings

import (
	"os"

	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// LoadGateway reads a gateway's settings file, applies the defaults and
// validates the result. The error is of type Faults.
func LoadGateway(path string) (*pb.GatewaySettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{Reason: err.Error()}}
	}
	return ParseGateway(data)
}

// ParseGateway decodes a gateway's settings, applies the defaults and validates
// the result. The error is of type Faults.
func ParseGateway(data []byte) (*pb.GatewaySettings, error) {
	s := &pb.GatewaySettings{}
	if err := protojson.Unmarshal(data, s); err != nil {
		return nil, Faults{{Reason: normalizeSpaces(err)}}
	}
	ensureMessage(&s.Doors)
	ensureMessage(&s.Retries)
	ensureMessage(&s.Times)
	setDefault(&s.ColdOvershoot, defaultColdOvershoot)
	setDefault(&ensureMessage(&s.Log).Level, defaultLogLevel)
	if faults := ValidateGateway(s); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// ValidateGateway returns all faults of gateway settings to which the defaults
// have been applied.
func ValidateGateway(s *pb.GatewaySettings) Faults {
	c := &checker{}
	c.checkName("name", s.Name)
	c.checkName("data_centre", s.DataCentre)
	c.checkAddress("doors.caller", s.Doors.Caller)
	c.checkAddress("doors.readiness", s.Doors.Readiness)
	c.checkAddress("doors.metrics", s.Doors.Metrics)
	if s.Doors.Peer != "" {
		c.checkAddress("doors.peer", s.Doors.Peer)
	}
	c.checkAddress("store_address", s.StoreAddress)
	if s.Retries.Ratio < 0 || s.Retries.Ratio > 1 {
		c.addFault("retries.ratio", "%v must be from 0 to 1", s.Retries.Ratio)
	}
	c.checkPositive("times.stop_s", s.Times.StopS)
	c.checkPositive("memory_mib", float64(s.MemoryMib))
	c.checkPositive("cold_overshoot", s.ColdOvershoot)
	if s.ColdStartSlack < 0 {
		c.addFault("cold_start_slack", "must not be negative")
	}
	if s.LinkMbps < 0 {
		c.addFault("link_mbps", "must not be negative")
	}
	c.checkLogLevel(s.Log)
	return c.faults
}

func (c *checker) checkPositive(path string, n float64) {
	if n <= 0 {
		c.addFault(path, "must be above 0")
	}
}
