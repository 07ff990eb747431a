package relay

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/allotment"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/streamorigin"
	"cuminrock.example/router/prepaid"
)

// originLog is a StreamOrigins of one gateway.
type originLog struct {
	versions map[streamorigin.Stream]string
	expected []string
	broke    int
	// serviceVersions are the recorded versions of the service, all if nil.
	serviceVersions []string
	// young is set if streams may have begun before the versions were recorded.
	young bool
	// stuck is set if a version that was expected can't be corrected.
	stuck bool
	// onAwait is called by AwaitVersion.
	onAwait func()
}

func (l *originLog) Expect(_ streamorigin.Stream, version string, _ time.Time) {
	l.expected = append(l.expected, version)
}

func (l *originLog) Began(_ context.Context, s streamorigin.Stream, version string, _ time.Time) bool {
	if l.versions == nil {
		l.versions = make(map[streamorigin.Stream]string)
	}
	l.versions[s] = version
	if version == "" {
		delete(l.versions, s)
	}
	return !l.stuck || !slices.ContainsFunc(l.expected, func(other string) bool { return other != version })
}

func (l *originLog) MayBegin(_, version string) bool {
	return l.serviceVersions == nil || slices.Contains(l.serviceVersions, version)
}

func (l *originLog) AwaitVersion(context.Context, string) bool {
	if l.onAwait == nil {
		return false
	}
	l.onAwait()
	return true
}

func (l *originLog) SoleVersion(context.Context, string, time.Duration) (string, bool) {
	if len(l.serviceVersions) != 1 {
		return "", !l.young
	}
	return l.serviceVersions[0], !l.young
}

func (l *originLog) Covers(string, time.Duration) bool { return !l.young }

func (l *originLog) BrokeOff() { l.broke++ }

func (l *originLog) Version(_ context.Context, s streamorigin.Stream) (string, bool) {
	version, known := l.versions[s]
	return version, known
}

// brokenStream is a stream that breaks after its first events.
var brokenStream = outcome{status: 200, body: firstEvents, truncated: true}

// newVersionedRelay returns a relay to one target of each of the versions.
func newVersionedRelay(origins *originLog, versions []string, outcomes ...outcome) (*Relay, *upstream) {
	up := &upstream{outcomes: outcomes}
	r := newRelay(resumable(), up)
	r.Origins = origins
	if origins.serviceVersions == nil {
		origins.serviceVersions = slices.Compact(slices.Sorted(slices.Values(versions)))
	}
	var targets []placement.Target
	for i, version := range versions {
		targets = append(targets, placement.Target{ID: string(rune('a' + i)), Service: "s", Version: version})
	}
	r.Targets = placement.New("dc")
	r.Targets.Update(targets, time.Now())
	return r, up
}

func (u *upstream) versions() []string {
	var versions []string
	for _, s := range u.sends {
		versions = append(versions, s.Target.Version)
	}
	return versions
}

// Guards against incident second1 of issue 28 (ORDER), within one answer.
func TestAnswerGoesOnAtItsVersionOnly(t *testing.T) {
	is := is.New(t)
	for range 20 {
		r, up := newVersionedRelay(&originLog{}, []string{"v1", "v2", "v1", "v2"}, brokenStream, brokenStream, brokenStream)
		out := serveWith(context.Background(), r, &Request{ID: "1"})
		is.True(out.aborted)
		is.Equal(len(up.sends), 2) // the version's last target is used up
		is.Equal(up.sends[0].Target.Version, up.sends[1].Target.Version)
	}
}

// Before its first event, a stream has no version.
func TestAnswerWithoutEventsMayGoAnywhere(t *testing.T) {
	is := is.New(t)
	origins := &originLog{}
	r, up := newVersionedRelay(origins, []string{"v1", "v2"}, outcome{status: 200, truncated: true}, outcome{status: 200, body: firstEvents + lastEvents})
	out := serveWith(context.Background(), r, &Request{ID: "1"})
	is.True(out.finished)
	is.Equal(len(up.sends), 2)
	is.Equal(origins.versions[streamorigin.StreamOf("", "1")], up.versions()[1])
}

// An unknown version is that of no other target, even of one whose entry has none either.
func TestAnswerOfUnknownVersionIsNotGoneOnWith(t *testing.T) {
	is := is.New(t)
	origins := &originLog{}
	r, up := newVersionedRelay(origins, []string{"", ""}, brokenStream)
	is.True(serveWith(context.Background(), r, &Request{ID: "1"}).aborted)
	is.Equal(len(up.sends), 1)
	is.Equal(len(origins.versions), 0)
	is.Equal(origins.broke, 1)
}

// A stream that was taken up keeps the name of its first attempt, through any number of
// takeovers.
func TestTakeoversGoOnAtTheFirstVersion(t *testing.T) {
	is := is.New(t)
	origins := &originLog{}
	origins.Began(context.Background(), streamorigin.StreamOf("", "1"), "v2", time.Time{})
	for i := range 5 {
		r, up := newVersionedRelay(origins, []string{"v1", "v2", "v1"}, brokenStream)
		serveWith(context.Background(), r, &Request{ID: string(rune('2' + i)), Resumes: "1", ResumeAfter: "3"})
		is.Equal(up.versions(), []string{"v2"})
		is.Equal(len(origins.versions), 1)
	}
}

// A gateway that doesn't know where a stream began sends it nowhere, whatever versions
// there are, and says that it didn't run.
func TestTakeoverOfUnknownStreamIsRefused(t *testing.T) {
	is := is.New(t)
	for _, versions := range [][]string{{"v1", "v1"}, {"v1", "v2"}} {
		r, up := newVersionedRelay(&originLog{}, versions, brokenStream)
		out := serveWith(context.Background(), r, &Request{ID: "2", Resumes: "1", ResumeAfter: "3"})
		is.Equal(out.refused.Kind, errkind.OriginUnknown)
		is.Equal(len(up.sends), 0)
	}
}

func TestTakeoverAfterTheLastTargetOfItsVersionIsRefused(t *testing.T) {
	is := is.New(t)
	origins := &originLog{}
	origins.Began(context.Background(), streamorigin.StreamOf("", "1"), "v0", time.Time{})
	r, up := newVersionedRelay(origins, []string{"v1", "v2"}, brokenStream)
	out := serveWith(context.Background(), r, &Request{ID: "2", Resumes: "1", ResumeAfter: "3"})
	is.Equal(out.refused.Kind, errkind.NoTarget)
	is.Equal(len(up.sends), 0)
}

// A caller that doesn't name the attempt goes on if there was one version only.
func TestTakeoverWithoutItsAttempt(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		versions []string
		sends    int
	}{{[]string{"v1", "v1"}, 1}, {[]string{"v1", "v2"}, 0}, {[]string{"v1", ""}, 0}} {
		r, up := newVersionedRelay(&originLog{}, c.versions, outcome{status: 200, body: lastEvents})
		serveWith(context.Background(), r, &Request{ID: "2", ResumeAfter: "2"})
		is.Equal(len(up.sends), c.sends)
	}
	r, up := newVersionedRelay(&originLog{}, []string{"v1", "v2"}, outcome{status: 200, body: lastEvents})
	r.Targets.Update([]placement.Target{{ID: "b", Service: "s", Version: "v2"}}, time.Now())
	serveWith(context.Background(), r, &Request{ID: "2", ResumeAfter: "2"})
	is.Equal(len(up.sends), 0) // it may have begun at v1, which is gone
}

// A target that starts again under its id, at another version, is another target.
func TestTargetThatRestartsAtAnotherVersion(t *testing.T) {
	is := is.New(t)
	origins := &originLog{}
	origins.Began(context.Background(), streamorigin.StreamOf("", "1"), "v1", time.Time{})
	r, up := newVersionedRelay(origins, []string{"v1"}, brokenStream)
	r.Targets.Update([]placement.Target{{ID: "a", StartTimeMs: 2, Service: "s", Version: "v2"}}, time.Now())
	out := serveWith(context.Background(), r, &Request{ID: "2", Resumes: "1", ResumeAfter: "3"})
	is.Equal(out.refused.Kind, errkind.NoTarget)
	is.Equal(len(up.sends), 0)
}

// The entry of a target was out of date: the process that answers may have another
// version than the one that was picked.
func TestStreamOfAReplacedTargetIsNotGoneOnWith(t *testing.T) {
	is := is.New(t)
	origins := &originLog{}
	r, up := newVersionedRelay(origins, []string{"v1", "v1"}, brokenStream)
	up.onSend = func(s *UpstreamRequest) {
		r.Targets.Update([]placement.Target{{ID: s.Target.ID, StartTimeMs: 2, Service: "s", Version: "v2"}, {ID: "c", Service: "s", Version: "v1"}}, time.Now())
	}
	is.True(serveWith(context.Background(), r, &Request{ID: "1"}).aborted)
	is.Equal(len(up.sends), 1)
	is.Equal(len(origins.versions), 0)
}

// A route whose streams can't be resumed records nothing.
func TestOriginsOfOtherStreamsAreNotRecorded(t *testing.T) {
	is := is.New(t)
	origins := &originLog{}
	r, _ := newVersionedRelay(origins, []string{"v1"}, brokenStream)
	r.Catalog().Route("h", "/x").Resumable = false
	serveWith(context.Background(), r, &Request{ID: "1"})
	is.Equal(len(origins.versions), 0)
	is.Equal(origins.broke, 0)
	is.Equal(r.Catalog().Route("h", "/x").Kind, catalog.Stream)
}

// Guards against answers of two versions after a kill of all gateways: a new process knows
// only the versions that it has seen itself.
func TestTakeoverWithoutItsAttemptGoesByTheRecord(t *testing.T) {
	is := is.New(t)
	r, up := newVersionedRelay(&originLog{serviceVersions: []string{"v1", "v2"}}, []string{"v2"}, outcome{status: 200, body: lastEvents})
	out := serveWith(context.Background(), r, &Request{ID: "2", ResumeAfter: "3"})
	is.Equal(out.refused.Kind, errkind.OriginUnknown)
	is.True(out.refused.RetryAfter > 0)
	is.Equal(len(up.sends), 0)
}

// A record that is younger than streams last says nothing of the first ones. A stream that
// began since then is known by its request's fingerprint.
func TestTakeoverWithoutItsAttemptByAYoungRecord(t *testing.T) {
	is := is.New(t)
	origins := &originLog{young: true}
	r, up := newVersionedRelay(origins, []string{"v1", "v1"}, brokenStream, brokenStream, outcome{status: 200, body: lastEvents})
	r.Catalog().Route("h", "/x").MaxAttempts = 1
	out := serveWith(context.Background(), r, &Request{ID: "2", ResumeAfter: "3", Body: Body{[]byte("a")}})
	is.Equal(out.refused.Kind, errkind.OriginUnknown)
	serveWith(context.Background(), r, &Request{ID: "1", Body: Body{[]byte("a")}})
	is.Equal(len(up.sends), 1)
	out = serveWith(context.Background(), r, &Request{ID: "2", ResumeAfter: "3", Body: Body{[]byte("b")}})
	is.Equal(out.refused.Kind, errkind.OriginUnknown)
	serveWith(context.Background(), r, &Request{ID: "2", ResumeAfter: "3", Body: Body{[]byte("a")}})
	is.Equal(up.versions(), []string{"v1", "v1"})
}

// Streams begin only at recorded versions; other requests go to all targets.
func TestStreamsBeginAtRecordedVersions(t *testing.T) {
	is := is.New(t)
	for range 20 {
		r, up := newVersionedRelay(&originLog{serviceVersions: []string{"v1"}}, []string{"v1", "v2", "v2"}, outcome{status: 200, body: firstEvents})
		serveWith(context.Background(), r, &Request{ID: "1"})
		is.Equal(up.versions(), []string{"v1"})
	}
	origins := &originLog{serviceVersions: []string{"v1"}}
	r, up := newVersionedRelay(origins, []string{"v2"}, outcome{status: 200, body: firstEvents})
	out := serveWith(context.Background(), r, &Request{ID: "1"})
	is.Equal(out.refused.Kind, errkind.NoTarget)
	origins.onAwait = func() { origins.serviceVersions = []string{"v1", "v2"} }
	out = serveWith(context.Background(), r, &Request{ID: "1"})
	is.True(out.finished)
	is.Equal(up.versions(), []string{"v2"})
	r, up = newVersionedRelay(&originLog{serviceVersions: []string{"v1"}}, []string{"v2"}, good)
	route := r.Catalog().Route("h", "/x")
	route.Kind, route.Resumable = catalog.Idempotent, false
	serveWith(context.Background(), r, &Request{ID: "1"})
	is.Equal(len(up.sends), 1)
}

// Guards against answers of two versions after a kill: the row still names the target that
// failed before its first event. The caller gets no event then.
func TestFirstEventIsHeldIfTheRowNamesAnotherVersion(t *testing.T) {
	is := is.New(t)
	for range 20 {
		origins := &originLog{stuck: true}
		r, up := newVersionedRelay(origins, []string{"v1", "v2"}, failed, outcome{status: 200, body: firstEvents})
		out := serveWith(context.Background(), r, &Request{ID: "1"})
		is.Equal(len(up.sends), 2)
		is.Equal(origins.expected, up.versions())
		is.Equal(out.status, 0)
		is.Equal(out.refused.Kind, errkind.TargetFailed)
	}
}

// Guards against a stream that goes on at another process than the one that was picked.
func TestTakeoverAtAReplacedTargetIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	origins := &originLog{}
	origins.Began(context.Background(), streamorigin.StreamOf("", "1"), "v1", time.Time{})
	r, up := newVersionedRelay(origins, []string{"v1"}, outcome{status: 200, body: lastEvents})
	up.onSend = func(s *UpstreamRequest) {
		r.Targets.Update([]placement.Target{{ID: s.Target.ID, StartTimeMs: 2, Service: "s", Version: "v2"}}, time.Now())
	}
	out := serveWith(context.Background(), r, &Request{ID: "2", Resumes: "1", ResumeAfter: "3"})
	is.Equal(out.status, 0)
	is.Equal(out.body, "")
}

// rankedBudgets is a Budgets that records the ranks of reservations.
type rankedBudgets struct{ ranks []int }

func (b *rankedBudgets) Reserve(_ context.Context, _ string, _ *catalog.Workspace, _ int64, rank int, _ time.Duration) (prepaid.Reservation, error) {
	b.ranks = append(b.ranks, rank)
	return prepaid.Unlimited{}, nil
}

// Guards against resumed streams that get no tokens while less urgent new requests do.
func TestResumedStreamAsksForTokensAtTheMostUrgentRank(t *testing.T) {
	is := is.New(t)
	r, _ := newVersionedRelay(&originLog{}, []string{"v1"}, outcome{status: 200, body: firstEvents}, outcome{status: 200, body: lastEvents})
	budgets := &rankedBudgets{}
	r.Budgets = budgets
	r.Catalog().Route("h", "/x").Priority = 4
	serveWith(context.Background(), r, &Request{ID: "1", Prompt: &Prompt{InputTokens: 1}})
	serveWith(context.Background(), r, &Request{ID: "2", Resumes: "1", ResumeAfter: "2", Prompt: &Prompt{InputTokens: 1}})
	is.Equal(budgets.ranks, []int{4, allotment.ResumedRank})
}

// Guards against an answer that goes on at another version: the target that was picked for
// its version is replaced under its id before it sends its first event.
func TestAnswerIsNotGoneOnWithAtAReplacedTarget(t *testing.T) {
	is := is.New(t)
	r, up := newVersionedRelay(&originLog{}, []string{"v1", "v1"}, brokenStream, outcome{status: 200, body: lastEvents})
	up.onSend = func(s *UpstreamRequest) {
		if len(up.sends) == 2 {
			r.Targets.Update([]placement.Target{{ID: s.Target.ID, StartTimeMs: 2, Service: "s", Version: "v2"}}, time.Now())
		}
	}
	out := serveWith(context.Background(), r, &Request{ID: "1"})
	is.Equal(len(up.sends), 2)
	is.True(out.aborted)
	is.True(!out.finished)
}
