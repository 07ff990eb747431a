package crashwatch

import (
	"maps"
	"slices"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
	"cuminrock.example/router/platformclient"
)

// Table is the store's table in which each gateway reports under its name.
const Table = "reports"

// Replace takes the reports of all gateways, as listed in the store.
func (w *Watcher) Replace(rows []platformclient.Entry) {
	listed := make(map[string]struct{}, len(rows))
	var own []byte
	for _, row := range rows {
		listed[row.Key] = struct{}{}
		w.apply(row)
		if row.Key == w.Gateway {
			own = row.Value
		}
	}
	w.table.Retain(listed)
	w.publisher.listed(own)
	w.Tick()
}

// Update takes the reports that have changed.
func (w *Watcher) Update(rows []platformclient.Entry) {
	for _, row := range rows {
		w.apply(row)
	}
	w.Tick()
}

// Tick drops what is too old. It is called from time to time.
func (w *Watcher) Tick() {
	w.refresh()
	if w.publisher.hasNews() {
		w.publisher.wakeLater()
	}
}

// apply takes one row.
func (w *Watcher) apply(row platformclient.Entry) {
	report, err := decodeReport(row.Value)
	if err != nil {
		w.Log.Warn("crash: ignoring an invalid report.", zap.String("gateway", row.Key), zap.Error(err))
		return
	}
	w.table.SetReport(row.Key, report)
}

// decodeReport decodes a row; one without a value is an empty report.
func decodeReport(value []byte) (quarantine.Report, error) {
	var message pb.GatewayReport
	err := proto.Unmarshal(value, &message)
	if err != nil {
		return quarantine.Report{}, err
	}
	report := quarantine.Report{Answers: make(map[quarantine.Trait]int64, len(message.Answers))}
	for _, c := range message.Crashes {
		crash := quarantine.Crash{Process: placement.Process{ID: c.TargetId, StartTimeMs: c.StartTimeMs}, AtMs: c.AtMs}
		for _, part := range c.Parts {
			crash.Traits = append(crash.Traits, quarantine.Trait{Kind: quarantine.PromptPart, Hash: part})
		}
		report.Crashes = append(report.Crashes, crash)
	}
	for _, a := range message.Answers {
		report.Answers[quarantine.Trait{Kind: quarantine.PromptPart, Hash: a.Part}] = a.BeganMs
	}
	return report, nil
}

// encodeReport encodes a row. Equal reports have equal rows.
func encodeReport(r quarantine.Report) ([]byte, error) {
	message := &pb.GatewayReport{}
	for _, c := range r.Crashes {
		message.Crashes = append(message.Crashes, &pb.TargetCrash{
			TargetId: c.Process.ID, StartTimeMs: c.Process.StartTimeMs, AtMs: c.AtMs, Parts: hashes(c.Traits),
		})
	}
	for _, trait := range sortedTraits(r.Answers) {
		message.Answers = append(message.Answers, &pb.PartAnswer{Part: trait.Hash, BeganMs: r.Answers[trait]})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

func sortedTraits(answers map[quarantine.Trait]int64) []quarantine.Trait {
	return slices.SortedFunc(maps.Keys(answers), quarantine.Trait.Compare)
}

// hashes returns the hashes of the traits.
func hashes(traits []quarantine.Trait) []uint64 {
	numbers := make([]uint64, 0, len(traits))
	for _, trait := range traits {
		numbers = append(numbers, trait.Hash)
	}
	return numbers
}

// contains reports whether a refusal of the same traits is among the refusals.
func contains(refusals []quarantine.Refusal, r quarantine.Refusal) bool {
	return slices.ContainsFunc(refusals, func(other quarantine.Refusal) bool { return slices.Equal(other.Traits, r.Traits) })
}
