package crashwatch

import (
	"time"

	"go.uber.org/zap"

	"cuminrock.example/router/ownrow"
)

const (
	// maxCrashDelay bounds the random delay before a crash is reported, in which
	// more of the same crash is seen, and maxAnswerDelay that before answers are: in
	// it others report theirs, which often makes this report needless.
	maxCrashDelay  = 100 * time.Millisecond
	maxAnswerDelay = time.Second
)

// newPublisher returns the row with the gateway's report.
func newPublisher(w *Watcher) *ownrow.Row {
	return ownrow.New(ownrow.Options{
		Tables: w.Tables, Key: Table + "//" + w.Gateway, Content: (*reportContent)(w),
		UrgentDelay: maxCrashDelay, LaterDelay: func() time.Duration { return maxAnswerDelay }, Subject: "crash", Log: w.Log,
	})
}

// reportContent is the watcher as the content of its row.
type reportContent Watcher

// Compose implements ownrow.Content.
func (c *reportContent) Compose() ([]byte, error) {
	w := (*Watcher)(c)
	nowMs, known := w.platformTime(w.Now())
	if !known {
		return nil, nil
	}
	return encodeReport(w.table.Report(nowMs))
}

// Take implements ownrow.Content. What an earlier run reported stays part of this run's
// reports.
func (c *reportContent) Take(value []byte) {
	report, err := decodeReport(value)
	if err != nil {
		c.Log.Warn("crash: this gateway's stored report is invalid.", zap.Error(err))
	}
	c.table.SetReport(c.Gateway, report)
}
