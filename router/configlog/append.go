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
	// appendAttempts bounds how often a commit without a known outcome is
	// looked up and sent again.
	appendAttempts = 8
	// firstDelay is the wait after the first lost answer; it doubles.
	firstDelay = 50 * time.Millisecond
	// maxTold is the most records of one change that a conflict names.
	maxTold = 5
)

// ConflictError tells an operator that other changes were accepted since the
// plan was made. It is the cause of an errkind.Conflict.
type ConflictError struct {
	// BaseVersion is the version of the plan, HeadVersion the newest version.
	BaseVersion, HeadVersion uint64
	// Changes are those in between.
	Changes []*pb.Change
}

// Error names authors, times and records of the changes.
func (e *ConflictError) Error() string {
	texts := make([]string, len(e.Changes))
	for i, c := range e.Changes {
		texts[i] = describe(c)
	}
	return fmt.Sprintf("planned on version %d, version %d is in force: %s", e.BaseVersion, e.HeadVersion, strings.Join(texts, "; "))
}

func describe(c *pb.Change) string {
	var names []string
	for _, r := range c.Upserts {
		names = append(names, config.FormatKey(config.RecordKey(r)))
	}
	for _, key := range c.Removes {
		names = append(names, config.FormatKey(key)+" (removed)")
	}
	more := ""
	if len(names) > maxTold {
		more = fmt.Sprintf(" and %d more", len(names)-maxTold)
		names = names[:maxTold]
	}
	when := time.UnixMilli(c.TimeMs).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s made version %d at %s: %s%s", c.Author, c.Version, when, strings.Join(names, ", "), more)
}

// Append adds a change, whose version is the one after the plan's base. It
// returns the version once it is known to be accepted. A plan that was
// overtaken gives errkind.Conflict with a *ConflictError; a platform that
// didn't take it errkind.PlatformDown; one that doesn't tell whether it did,
// errkind.OutcomeUnknown. Append sets the change's author, nonce and time.
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

// appender is one Append in progress.
type appender struct {
	platform platformclient.Platform
	change   *pb.Change
	// sent is set once a commit may take effect.
	sent bool
}

func (a *appender) run(ctx context.Context) error {
	stored, err := a.store(ctx)
	if err != nil {
		return err
	}
	delay := firstDelay
	var failure error
	for range appendAttempts {
		done, err := a.attempt(ctx, stored)
		if done || errkind.KindOf(err) == errkind.Conflict {
			return err
		}
		failure = err
		if !wait.For(ctx, delay) {
			break
		}
		delay *= 2
	}
	return a.giveUp(failure)
}

// store puts a large body into the object store and returns the row's value.
func (a *appender) store(ctx context.Context) ([]byte, error) {
	value, err := proto.Marshal(a.change)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "the change can't be encoded")
	}
	if len(value) <= changeRowBytes {
		return value, nil
	}
	name := bodyObject(a.change)
	if err := a.platform.PutObject(ctx, name, value); err != nil {
		return nil, down(err, "the change's body can't be stored")
	}
	return proto.Marshal(&pb.Change{
		Version:    a.change.Version,
		Author:     a.change.Author,
		Nonce:      a.change.Nonce,
		TimeMs:     a.change.TimeMs,
		BodyObject: name,
	})
}

// attempt looks where the log stands and commits if the change may still go
// in. Done without error means that the change is accepted.
func (a *appender) attempt(ctx context.Context, value []byte) (done bool, err error) {
	h, err := readHead(ctx, a.platform)
	if err != nil {
		return false, err
	}
	if h.Version != a.change.Version-1 {
		return a.overtaken(ctx, h)
	}
	resp, err := a.platform.Commit(ctx, a.transaction(h, value))
	if err != nil {
		a.sent = a.sent || !errors.Is(err, platformclient.ErrUnavailable)
		return false, down(err, "the change's commit wasn't answered")
	}
	if resp.Committed {
		return true, nil
	}
	return false, errkind.New(errkind.PlatformDown, "the head moved while the change was sent")
}

// overtaken tells whether the change itself moved the head, which a lost
// answer hides, or another did.
func (a *appender) overtaken(ctx context.Context, h head) (done bool, err error) {
	base := a.change.Version - 1
	if h.Version < base {
		return false, errkind.New(errkind.Conflict, "planned on version %d, but the platform's newest is %d", base, h.Version)
	}
	changes, err := read(ctx, a.platform, base, h.Version)
	if err != nil {
		return false, err
	}
	if changes[0].Nonce == a.change.Nonce {
		return true, nil
	}
	conflict := &ConflictError{BaseVersion: base, HeadVersion: h.Version, Changes: changes}
	return false, errkind.Wrap(errkind.Conflict, conflict, "another change was accepted first; plan again")
}

func (a *appender) transaction(h head, value []byte) *pb.CommitRequest {
	next := &pb.ConfigHead{Version: a.change.Version, SnapshotVersion: h.SnapshotVersion, Nonce: a.change.Nonce}
	key := changeKey(a.change.Version)
	return &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: headKey, Version: h.row}, {Key: key}},
		Writes:     []*pb.Write{{Key: headKey, Value: encodeHead(next)}, {Key: key, Value: value}},
	}
}

func (a *appender) giveUp(cause error) error {
	if !a.sent {
		return errkind.Wrap(errkind.PlatformDown, cause, "nothing was changed")
	}
	message := fmt.Sprintf("version %d may have been accepted; plan the same sheet again to see", a.change.Version)
	return errkind.Wrap(errkind.OutcomeUnknown, cause, message)
}

// encodeHead never fails: the message has numbers and a checked string only.
func encodeHead(h *pb.ConfigHead) []byte {
	data, err := proto.Marshal(h)
	if err != nil {
		panic("configlog: head can't be encoded: " + err.Error())
	}
	return data
}
