package engine

import "sync/atomic"

// Counts holds the counters of an engine since its start.
type Counts struct {
	// Runs is the number of streams that got a slot. RunsByID counts them per
	// request id; Repeated is the number of ids that ran more than once.
	Runs     uint64         `json:"runs"`
	Repeated int            `json:"repeated"`
	RunsByID map[string]int `json:"runs_by_id"`
	// RunsWhileLeaving is the number of runs that started while the engine was
	// leaving.
	RunsWhileLeaving uint64 `json:"runs_while_leaving"`
	// Tokens is the number of generated tokens, without prompts.
	Tokens uint64 `json:"tokens"`
	// PromptTokens is the number of prompt tokens of all runs; CachedTokens is
	// how many of them were in the prefix cache.
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	// Refused is the number of requests refused with run state not_run.
	Refused uint64 `json:"refused"`
	// Resumed counts resume requests for known streams. Cancelled counts the
	// streams that were cancelled while queued or running.
	Resumed   uint64 `json:"resumed"`
	Cancelled uint64 `json:"cancelled"`
}

// counters holds the live counters behind Counts.
type counters struct {
	runs, runsWhileLeaving, tokens, promptTokens, cachedTokens atomic.Uint64
	refused, resumed, cancelled                                atomic.Uint64
}

// Counts returns the counters since the start.
func (e *Engine) Counts() Counts {
	return Counts{
		Runs:             e.counts.runs.Load(),
		Repeated:         e.runs.Repeated(),
		RunsByID:         e.runs.Snapshot(),
		RunsWhileLeaving: e.counts.runsWhileLeaving.Load(),
		Tokens:           e.counts.tokens.Load(),
		PromptTokens:     e.counts.promptTokens.Load(),
		CachedTokens:     e.counts.cachedTokens.Load(),
		Refused:          e.counts.refused.Load(),
		Resumed:          e.counts.resumed.Load(),
		Cancelled:        e.counts.cancelled.Load(),
	}
}

// RunCount returns the number of runs of one request id.
func (e *Engine) RunCount(requestID string) int { return e.runs.Count(requestID) }
