package quarantine

// maxAnswersPerGeneration bounds the traits in one generation of an answerLog.
const maxAnswersPerGeneration = 10_000

// answerLog holds when traits were last answered. It forgets those that were
// answered longest ago, a generation at a time.
type answerLog struct {
	recent, older map[Trait]int64
}

// add records an answer to a request with the trait.
func (l *answerLog) add(trait Trait, beganMs int64) {
	if l.recent == nil || len(l.recent) >= maxAnswersPerGeneration {
		l.older, l.recent = l.recent, make(map[Trait]int64)
	}
	l.recent[trait] = max(l.recent[trait], l.older[trait], beganMs)
}

// last returns when the last answer began; false if none is known.
func (l *answerLog) last(trait Trait) (int64, bool) {
	beganMs, found := l.recent[trait]
	if !found {
		beganMs, found = l.older[trait]
	}
	return beganMs, found
}
