package engine

import "sync/atomic"

// Counts is what the engine did since its start.
type Counts struct {
	// Runs is streams that got a slot; RunsByID counts them per request id
	// and Repeated the ids with more than one.
	Runs     uint64         `json:"runs"`
	Repeated int            `json:"repeated"`
	RunsByID map[string]int `json:"runs_by_id"`
	// RunsWhileLeaving is runs that started while the engine was leaving.
	RunsWhileLeaving uint64 `json:"runs_while_leaving"`
	// Tokens is generated tokens, without prompts.
	Tokens uint64 `json:"tokens"`
	// PromptTokens is the prompts of all runs; CachedTokens those of them that
	// the prefix cache had.
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	// Refused is requests answered not_run.
	Refused uint64 `json:"refused"`
	// Resumed and Cancelled are calls on known streams.
	Resumed   uint64 `json:"resumed"`
	Cancelled uint64 `json:"cancelled"`
}

// counters is Counts while it is counted.
type counters struct {
	runs, runsWhileLeaving, tokens, promptTokens, cachedTokens atomic.Uint64
	refused, resumed, cancelled                                atomic.Uint64
}

// Counts returns what was counted since the start.
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

// RunCount returns how often one request id ran.
func (e *Engine) RunCount(requestID string) int { return e.runs.Count(requestID) }
