package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/placement"
)

const startMs = 1_000_000

// part returns the trait of a prompt part.
func part(hash int) Trait { return Trait{Kind: PromptPart, Hash: uint64(hash)} }

func promptParts(hashes []int) []Trait {
	var traits []Trait
	for _, hash := range hashes {
		traits = append(traits, part(hash))
	}
	return traits
}

// sentAt returns the traits as those of a request that was sent at a time.
func sentAt(sentMs int64, traits ...Trait) map[Trait]int64 {
	sent := make(map[Trait]int64)
	for _, trait := range traits {
		sent[trait] = sentMs
	}
	return sent
}

// crashAt records a crash of a process of its own.
func crashAt(t *Table, number int, atMs int64, parts ...int) {
	t.RecordCrash(Crash{Process: placement.Process{ID: fmt.Sprintf("p%d", number), StartTimeMs: 1}, AtMs: atMs, SentMs: sentAt(atMs-1, promptParts(parts)...)})
}

func refuses(t *Table, nowMs int64, parts ...int) bool {
	t.Update(nowMs)
	return t.Refuses(promptParts(parts), nowMs) != nil
}

func TestRefusalNeedsCrashesAtDifferentMoments(t *testing.T) {
	is := is.New(t)
	table := New("g")
	for i := range enoughCrashes - 1 {
		crashAt(table, i, startMs, 1)
	}
	is.True(!refuses(table, startMs+1000, 1))
	crashAt(table, 10, startMs+400, 1)
	is.True(refuses(table, startMs+1000, 1))
	is.True(!refuses(table, startMs+1000, 2))
	is.True(refuses(table, startMs+10*60_000, 1))
	is.True(!refuses(table, startMs+retention.Milliseconds()+1000, 1))
}

// Targets that end together count as one moment; a part that was never answered is
// refused only for a while.
func TestCrashesAtOneMoment(t *testing.T) {
	is := is.New(t)
	table := New("g")
	for i := range 2 * enoughCrashes {
		crashAt(table, i, startMs, 1, 2)
	}
	table.RecordAnswer([]Trait{part(2)}, startMs-1000)
	is.True(refuses(table, startMs+1000, 1))
	is.True(!refuses(table, startMs+1000, 2))
	is.True(!refuses(table, startMs+singleWaveRefusal.Milliseconds(), 1))
}

func TestAnswerEndsRefusal(t *testing.T) {
	is := is.New(t)
	table := New("g")
	for i := range enoughCrashes {
		crashAt(table, i, startMs+int64(i)*1000, 1)
	}
	is.True(refuses(table, startMs+5000, 1))
	table.RecordAnswer([]Trait{part(1)}, startMs+4500)
	is.True(!refuses(table, startMs+6000, 1))
}

// A part that was answered before is refused for longer with each wave of crashes.
func TestRefusalOfPartThatWasAnsweredEnds(t *testing.T) {
	is := is.New(t)
	table := New("g")
	table.RecordAnswer([]Trait{part(1)}, startMs-1000)
	for i := range enoughCrashes {
		crashAt(table, i, startMs+int64(i)*1000, 1)
	}
	end := startMs + 4000 + (4 * answeredRefusal).Milliseconds()
	is.True(!refuses(table, startMs+2000, 1)) // answers may not be known yet
	is.True(refuses(table, startMs+5000, 1))
	is.True(refuses(table, end-1, 1))
	is.True(!refuses(table, end, 1))
	crashAt(table, 10, end+1000, 1)
	is.True(refuses(table, end+1100, 1))
}

// While nothing tells two parts apart, prompts with one of them pass, and their
// answers decide.
func TestIndistinguishablePartsAreRefusedTogether(t *testing.T) {
	is := is.New(t)
	table := New("g")
	for i := range enoughCrashes {
		crashAt(table, i, startMs+int64(i)*500, 1, 2)
	}
	nowMs := int64(startMs + 2100)
	is.True(refuses(table, nowMs, 1, 2))
	is.True(!refuses(table, nowMs, 1))
	is.True(!refuses(table, nowMs, 2))
	table.RecordAnswer([]Trait{part(1)}, nowMs)
	is.True(!refuses(table, nowMs+1000, 1))
	is.True(refuses(table, nowMs+1000, 2))
}

// Parts that are in flight at some crashes of a harmful one aren't refused with it.
func TestExplainedCrashesDontCount(t *testing.T) {
	is := is.New(t)
	table := New("g")
	for i := range 2 * enoughCrashes {
		parts := []int{1}
		if i < minWaves {
			parts = append(parts, 2)
		}
		crashAt(table, i, startMs+int64(i)*500, parts...)
	}
	nowMs := int64(startMs + 6000)
	is.True(refuses(table, nowMs, 1))
	is.True(!refuses(table, nowMs, 2))
}

// Reports are bounded, keep the crashes of refused parts, and what an earlier run
// of the gateway reported.
func TestReportIsBounded(t *testing.T) {
	is := is.New(t)
	table := New("g")
	table.SetReport("g", Report{Crashes: []Crash{{Process: placement.Process{ID: "before"}, AtMs: startMs - 3000, SentMs: sentAt(startMs, part(1))}}})
	for i := range enoughCrashes - 1 {
		crashAt(table, i, startMs+int64(i)*500, 1)
	}
	for i := range 3 * maxReportedCrashes {
		crashAt(table, 100+i, startMs+5000+int64(i), 1000+i)
	}
	nowMs := int64(startMs + 6000)
	is.True(refuses(table, nowMs, 1))
	report := table.Report(nowMs)
	is.Equal(len(report.Crashes), maxReportedCrashes)
	other := New("h")
	other.SetReport("g", report)
	is.True(refuses(other, nowMs, 1))
}

func TestAnswerLogForgetsTheOldest(t *testing.T) {
	is := is.New(t)
	var l answerLog
	l.add(part(1), 7)
	for i := range 2 * maxAnswersPerGeneration {
		l.add(part(10+i), 8)
	}
	_, found := l.last(part(1))
	is.True(!found)
	_, found = l.last(part(9 + 2*maxAnswersPerGeneration))
	is.True(found)
	is.True(len(l.recent)+len(l.older) <= 2*maxAnswersPerGeneration)
}

func TestCrashesOfOneProcessAreOne(t *testing.T) {
	is := is.New(t)
	table := New("g")
	for i := range 10 {
		table.RecordCrash(Crash{Process: placement.Process{ID: "p"}, AtMs: startMs + int64(i)*500, SentMs: sentAt(startMs, part(1))})
	}
	is.True(!refuses(table, startMs+time.Minute.Milliseconds(), 1))
}
