// Package events writes timeline events as text or as JSON lines.
package events

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

const (
	// timeLayout prints the time of day with microseconds.
	timeLayout = "15:04:05.000000"
	// kindPrefix is the prefix of the event kinds in the protobuf schema.
	kindPrefix = "EVENT_KIND_"
)

// WriteJSON writes each event as one line of JSON.
func WriteJSON(w io.Writer, list []*pb.Event) error {
	marshal := protojson.MarshalOptions{UseProtoNames: true}
	for _, e := range list {
		line, err := marshal.Marshal(e)
		if err != nil {
			return trace.Wrap(err)
		}
		_, err = w.Write(append(line, '\n'))
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// WriteText writes each event as one line of text.
func WriteText(w io.Writer, list []*pb.Event) {
	for _, e := range list {
		at := time.Unix(0, e.GetTime().GetWallNs()).UTC()
		fmt.Fprintf(w, "%s+%d  %-12s %-18s%s\n", at.Format(timeLayout), e.GetTime().GetLogical(), e.Router, KindName(e.Kind), details(e))
	}
}

// KindName returns the short name of an event kind, such as "first_byte".
func KindName(kind pb.EventKind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), kindPrefix))
}

// details formats the fields of an event that are set.
func details(e *pb.Event) string {
	var text strings.Builder
	for _, field := range []struct{ name, value string }{
		{"request", e.RequestId},
		{"workspace", e.Workspace},
		{"budget", e.Budget},
		{"target", e.Target},
	} {
		if field.value != "" {
			fmt.Fprintf(&text, " %s=%s", field.name, field.value)
		}
	}
	if e.Tokens != 0 {
		fmt.Fprintf(&text, " tokens=%d", e.Tokens)
	}
	if e.Detail != "" {
		fmt.Fprintf(&text, " (%s)", e.Detail)
	}
	return text.String()
}
