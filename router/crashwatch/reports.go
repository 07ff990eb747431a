package crashwatch

import (
	"maps"
	"slices"
	"strconv"

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
	w.publisher.Listed(own)
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
	if w.publisher.HasNews() {
		w.publisher.WakeLater()
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
	report := quarantine.Report{Answers: make(map[quarantine.Trait]int64)}
	for _, c := range message.Crashes {
		report.Crashes = append(report.Crashes, decodeCrash(c))
	}
	for _, a := range message.Answers {
		report.Answers[quarantine.Trait{Kind: quarantine.PromptPart, Hash: a.Part}] = a.BeganMs
	}
	for _, a := range message.RequestAnswers {
		report.Answers[quarantine.RequestTrait(a.Fingerprint)] = a.BeganMs
	}
	return report, nil
}

func decodeCrash(c *pb.TargetCrash) quarantine.Crash {
	sentMs := make(map[quarantine.Trait]int64, len(c.Parts)+len(c.Requests))
	for _, part := range c.Parts {
		sentMs[quarantine.Trait{Kind: quarantine.PromptPart, Hash: part}] = 0
	}
	for _, r := range c.Requests {
		sentMs[quarantine.RequestTrait(r.Fingerprint)] = r.SentMs
	}
	return quarantine.Crash{Process: placement.Process{ID: c.TargetId, StartTimeMs: c.StartTimeMs}, AtMs: c.AtMs, SentMs: sentMs}
}

// encodeReport encodes a row. Equal reports have equal rows.
func encodeReport(r quarantine.Report) ([]byte, error) {
	message := &pb.GatewayReport{}
	for _, c := range r.Crashes {
		message.Crashes = append(message.Crashes, encodeCrash(c))
	}
	for _, trait := range sortedTraits(r.Answers) {
		beganMs := r.Answers[trait]
		if trait.Kind == quarantine.WholeRequest {
			message.RequestAnswers = append(message.RequestAnswers, &pb.RequestAnswer{Fingerprint: trait.Hash, BeganMs: beganMs})
		} else {
			message.Answers = append(message.Answers, &pb.PartAnswer{Part: trait.Hash, BeganMs: beganMs})
		}
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

func encodeCrash(c quarantine.Crash) *pb.TargetCrash {
	message := &pb.TargetCrash{TargetId: c.Process.ID, StartTimeMs: c.Process.StartTimeMs, AtMs: c.AtMs}
	for _, trait := range sortedTraits(c.SentMs) {
		if trait.Kind == quarantine.WholeRequest {
			message.Requests = append(message.Requests, &pb.LostRequest{Fingerprint: trait.Hash, SentMs: c.SentMs[trait]})
		} else {
			message.Parts = append(message.Parts, trait.Hash)
		}
	}
	return message
}

func sortedTraits(times map[quarantine.Trait]int64) []quarantine.Trait {
	return slices.SortedFunc(maps.Keys(times), quarantine.Trait.Compare)
}

// hashes returns the hashes of the traits of a kind.
func hashes(traits []quarantine.Trait, kind quarantine.TraitKind) []uint64 {
	var numbers []uint64
	for _, trait := range traits {
		if trait.Kind == kind {
			numbers = append(numbers, trait.Hash)
		}
	}
	return numbers
}

// hashField returns the log field for the traits of a refusal, which are of one kind.
func hashField(traits []quarantine.Trait) zap.Field {
	if traits[0].Kind == quarantine.WholeRequest {
		return fingerprintField(traits)
	}
	return zap.Uint64s("part_hashes", hashes(traits, quarantine.PromptPart))
}

// fingerprintField returns the log field for the requests among the traits, written as
// in the lines of requests.
func fingerprintField(traits []quarantine.Trait) zap.Field {
	var fingerprints []string
	for _, hash := range hashes(traits, quarantine.WholeRequest) {
		fingerprints = append(fingerprints, strconv.FormatUint(hash, 16))
	}
	return zap.Strings("fingerprints", fingerprints)
}

// contains reports whether a refusal of the same traits is among the refusals.
func contains(refusals []quarantine.Refusal, r quarantine.Refusal) bool {
	return slices.ContainsFunc(refusals, func(other quarantine.Refusal) bool { return slices.Equal(other.Traits, r.Traits) })
}
