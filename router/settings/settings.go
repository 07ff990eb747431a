// Package settings reads and validates the settings of the router daemon and of
// the gateway.
//
// A settings file is JSON of the message RouterSettings or GatewaySettings.
// Unknown fields are refused. Fields left out take their defaults. Every fault
// is reported with the path of its field.
package settings

import (
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Fault is one error in a settings file.
type Fault struct {
	// Path is the path of the field, such as "doors.caller"; empty for the
	// whole file.
	Path string `json:"path,omitempty"`
	// Reason says what is wrong with the field.
	Reason string `json:"reason"`
}

// String returns the fault as shown to operators.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

// Faults holds all faults of a settings file. As an error it is never empty.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file, applies the defaults and validates the result.
// The error is of type Faults.
func Load(path string) (*pb.RouterSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{Reason: err.Error()}}
	}
	return Parse(data)
}

// Parse decodes settings, applies the defaults and validates the result. The
// error is of type Faults.
func Parse(data []byte) (*pb.RouterSettings, error) {
	s := &pb.RouterSettings{}
	if err := protojson.Unmarshal(data, s); err != nil {
		return nil, Faults{{Reason: normalizeSpaces(err)}}
	}
	ApplyDefaults(s)
	if faults := Validate(s); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// normalizeSpaces replaces no-break spaces in protojson's errors, which puts
// one after its prefix at random, so that messages are the same each time.
func normalizeSpaces(err error) string {
	return strings.ReplaceAll(err.Error(), "\u00a0", " ")
}
