// Package settings reads the daemon's settings and checks them as a whole.
//
// A settings file is JSON of the message RouterSettings. Unknown fields are
// refused. Every fault is named with the path of its field; fields left out
// take their defaults.
package settings

import (
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	// Path of the field, such as "doors.caller"; empty for the whole file.
	Path string `json:"path,omitempty"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
}

// String returns the fault as operators see it.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

// Faults is every fault of a file. As an error it is never empty.
type Faults []Fault

// Error returns one line a fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file. The error is Faults.
func Load(path string) (*pb.RouterSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{Reason: err.Error()}}
	}
	return Parse(data)
}

// Parse reads settings, applies the defaults and checks the result. The error
// is Faults.
func Parse(data []byte) (*pb.RouterSettings, error) {
	s := &pb.RouterSettings{}
	if err := protojson.Unmarshal(data, s); err != nil {
		return nil, Faults{{Reason: plainReason(err)}}
	}
	ApplyDefaults(s)
	if faults := Validate(s); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// plainReason returns protojson's reason with plain spaces: it puts a no-break
// space behind its prefix at random.
func plainReason(err error) string {
	return strings.ReplaceAll(err.Error(), "\u00a0", " ")
}
