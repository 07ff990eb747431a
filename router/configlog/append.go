package configlog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/wait"
)

const (
	// maxAppendAttempts bounds how often Append checks for the outcome of a
	// commit and sends the commit again.
	maxAppendAttempts = 8
	// initialRetryDelay is the delay after the first attempt without a
	// response; it doubles with each attempt.
	initialRetryDelay = 50 * time.Millisecond
	// maxNamedRecords is the most records of one change that a conflict message
	// names.
	maxNamedRecords = 5
)

// ConflictError reports which changes were accepted since a plan was made. It
// is the cause of an errkind.Conflict.
type ConflictError struct {
	// BaseVersion is the version that the plan is based on, HeadVersion the
	// newest accepted version.
	BaseVersion, HeadVersion uint64
	// Changes holds the changes after BaseVersion up to HeadVersion.
	Changes []*pb.Change
}

// Error names the authors, times and records of the changes.
func (e *ConflictError) Error() string {
	texts := make([]string, len(e.Changes))
	for i, c := range e.Changes {
		texts[i] = describeChange(c)
	}
	return fmt.Sprintf("the plan is based on version %d, but the newest version is %d: %s", e.BaseVersion, e.HeadVersion, strings.Join(texts, "; "))
}

func describeChange(c *pb.Change) string {
	var names []string
	for _, r := range c.Upserts {
		names = append(names, config.FormatKey(config.RecordKey(r)))
	}
	for _, key := range c.Removes {
		names = append(names, config.FormatKey(key)+" (removed)")
	}
	more := ""
	if len(names) > maxNamedRecords {
		more = fmt.Sprintf(" and %d more", len(names)-maxNamedRecords)
		names = names[:maxNamedRecords]
	}
	when := time.UnixMilli(c.TimeMs).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s made version %d at %s: %s%s", c.Author, c.Version, when, strings.Join(names, ", "), more)
}

// Append adds a change, whose version must be the one after the plan's base
// version. It sets the change's author, nonce and time, and returns the version
// once the change is known to be accepted.
//
// If another change was accepted first, it returns errkind.Conflict with a
// *ConflictError; if the platform didn't take the change, errkind.PlatformDown;
// if the platform doesn't tell whether it did, errkind.OutcomeUnknown.
func Append(ctx context.Context, p platformclient.Platform, author string, change *pb.Change) (uint64, error) {
	change.Author = author
	change.Nonce = uuid.NewString()
	change.TimeMs = time.Now().UnixMilli()
	a := &appender{platform: p, change: change}
	if err := a.run(ctx); err != nil {
		return 0, err
	}
	return change.Version, nil
}

// appender is the state of one Append call.
type appender struct {
	platform platformclient.Platform
	change   *pb.Change
	// maybeCommitted is set once a commit was sent that may take effect.
	maybeCommitted bool
}

func (a *appender) run(ctx context.Context) error {
	stored, err := a.storeBody(ctx)
	if err != nil {
		return err
	}
	delay := initialRetryDelay
	var failure error
	for range maxAppendAttempts {
		done, err := a.tryCommit(ctx, stored)
		if done || errkind.KindOf(err) == errkind.Conflict {
			return err
		}
		failure = err
		if !wait.For(ctx, delay) {
			break
		}
		delay *= 2
	}
	return a.finalError(failure)
}

// storeBody returns the value of the change's row. It first stores a body that
// is too large for the row in the object store.
func (a *appender) storeBody(ctx context.Context) ([]byte, error) {
	value, err := proto.Marshal(a.change)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "the change can't be encoded")
	}
	if len(value) <= maxChangeRowBytes {
		return value, nil
	}
	name := bodyObject(a.change)
	if err := a.platform.PutObject(ctx, name, value); err != nil {
		return nil, wrapPlatformDown(err, "the change's body can't be stored")
	}
	return proto.Marshal(&pb.Change{
		Version:    a.change.Version,
		Author:     a.change.Author,
		Nonce:      a.change.Nonce,
		TimeMs:     a.change.TimeMs,
		BodyObject: name,
	})
}

// tryCommit reads the head and commits if the change still follows it. Done
// without an error means that the change is accepted.
func (a *appender) tryCommit(ctx context.Context, value []byte) (done bool, err error) {
	h, err := readHead(ctx, a.platform)
	if err != nil {
		return false, err
	}
	if h.Version != a.change.Version-1 {
		return a.resolveMovedHead(ctx, h)
	}
	resp, err := a.platform.Commit(ctx, a.commitRequest(h, value))
	if err != nil {
		a.maybeCommitted = a.maybeCommitted || !errors.Is(err, platformclient.ErrUnavailable)
		return false, wrapPlatformDown(err, "the commit of the change got no response")
	}
	if resp.Committed {
		return true, nil
	}
	return false, errkind.New(errkind.PlatformDown, "the head moved while the change was sent")
}

// resolveMovedHead determines whether the head was moved by this change, which
// happens after the response to its commit was lost, or by another one.
func (a *appender) resolveMovedHead(ctx context.Context, h head) (done bool, err error) {
	base := a.change.Version - 1
	if h.Version < base {
		return false, errkind.New(errkind.Conflict, "the plan is based on version %d, but the platform's newest version is %d", base, h.Version)
	}
	changes, err := readChanges(ctx, a.platform, base, h.Version)
	if err != nil {
		return false, err
	}
	if changes[0].Nonce == a.change.Nonce {
		return true, nil
	}
	conflict := &ConflictError{BaseVersion: base, HeadVersion: h.Version, Changes: changes}
	return false, errkind.Wrap(errkind.Conflict, conflict, "another change was accepted first; plan again")
}

func (a *appender) commitRequest(h head, value []byte) *pb.CommitRequest {
	next := &pb.ConfigHead{Version: a.change.Version, SnapshotVersion: h.SnapshotVersion, Nonce: a.change.Nonce}
	key := changeKey(a.change.Version)
	return &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: headKey, Version: h.rowVersion}, {Key: key}},
		Writes:     []*pb.Write{{Key: headKey, Value: encodeHead(next)}, {Key: key, Value: value}},
	}
}

func (a *appender) finalError(cause error) error {
	if !a.maybeCommitted {
		return errkind.Wrap(errkind.PlatformDown, cause, "nothing was changed")
	}
	message := fmt.Sprintf("version %d may have been accepted; plan the same sheet again to find out", a.change.Version)
	return errkind.Wrap(errkind.OutcomeUnknown, cause, message)
}

// encodeHead panics on failure, which can't happen: the message has only numbers
// and a nonce that is valid UTF-8.
func encodeHead(h *pb.ConfigHead) []byte {
	data, err := proto.Marshal(h)
	if err != nil {
		panic("configlog: encode head: " + err.Error())
	}
	return data
}
