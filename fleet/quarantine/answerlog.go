package quarantine

// maxAnswersPerGeneration bounds the parts in one generation of an answerLog.
const maxAnswersPerGeneration = 10_000

// answerLog holds when parts were last answered. It forgets the parts that were
// answered longest ago, a generation at a time.
type answerLog struct {
	recent, older map[Part]int64
}

// add records an answer to a prompt with the part.
func (l *answerLog) add(part Part, beganMs int64) {
	if l.recent == nil || len(l.recent) >= maxAnswersPerGeneration {
		l.older, l.recent = l.recent, make(map[Part]int64)
	}
	l.recent[part] = max(l.recent[part], l.older[part], beganMs)
}

// last returns when the last answer began; false if none is known.
func (l *answerLog) last(part Part) (int64, bool) {
	beganMs, found := l.recent[part]
	if !found {
		beganMs, found = l.older[part]
	}
	return beganMs, found
}
