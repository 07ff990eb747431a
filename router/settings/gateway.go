package settings

import (
	"os"

	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// LoadGateway reads a gateway's settings file. The error is Faults.
func LoadGateway(path string) (*pb.GatewaySettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{Reason: err.Error()}}
	}
	return ParseGateway(data)
}

// ParseGateway reads a gateway's settings, applies the defaults and checks the
// result. The error is Faults.
func ParseGateway(data []byte) (*pb.GatewaySettings, error) {
	s := &pb.GatewaySettings{}
	if err := protojson.Unmarshal(data, s); err != nil {
		return nil, Faults{{Reason: plainReason(err)}}
	}
	message(&s.Doors)
	message(&s.Retries)
	message(&s.Times)
	defaultTo(&message(&s.Log).Level, defaultLogLevel)
	if faults := ValidateGateway(s); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// ValidateGateway returns every fault of settings that have their defaults.
func ValidateGateway(s *pb.GatewaySettings) Faults {
	c := &checker{}
	c.name("name", s.Name)
	c.name("data_centre", s.DataCentre)
	c.address("doors.caller", s.Doors.Caller)
	c.address("doors.readiness", s.Doors.Readiness)
	c.address("doors.metrics", s.Doors.Metrics)
	c.address("store_address", s.StoreAddress)
	if s.Retries.Ratio < 0 || s.Retries.Ratio > 1 {
		c.fault("retries.ratio", "%v must be from 0 to 1", s.Retries.Ratio)
	}
	c.positive("times.stop_s", s.Times.StopS)
	c.positive("memory_mib", float64(s.MemoryMib))
	c.logLevel(s.Log)
	return c.faults
}

func (c *checker) positive(path string, n float64) {
	if n <= 0 {
		c.fault(path, "must be above 0")
	}
}
