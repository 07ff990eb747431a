package workmodel

import "math"

// Output is the expected number of output tokens of a request.
type Output struct {
	Tokens float64
	// Error is the mean absolute error of such expectations so far.
	Error float64
}

// Outputs learns the number of output tokens by route and workspace. The zero value
// has no observations. It isn't safe for concurrent use.
type Outputs struct {
	byKey map[outputKey]*outputRecord
}

type outputKey struct{ route, workspace string }

// outputRecord holds the mean length of answers and of the mean error.
type outputRecord struct {
	mean, err float64
	count     float64
}

const (
	// declaredShare is the part of the declared most output tokens that a request of an
	// unknown route is expected to use.
	declaredShare = 0.5
	// outputMemory is the number of answers that the learned length looks back on. A
	// route whose answers become longer is followed within about as many answers.
	outputMemory = 24
	// trustedCount is the number of answers of a workspace after which its own mean
	// counts as much as that of the route.
	trustedCount = 4
	// maxOutputKeys bounds the memory; each forgotten key costs a few wrong estimates.
	maxOutputKeys = 4096
)

// Expect returns the expected output of a request that declares the most tokens that
// it can get; 0 if it declares none.
func (o *Outputs) Expect(route, workspace string, declared int64) Output {
	expected := Output{Tokens: declaredShare * float64(declared), Error: declaredShare * float64(declared)}
	for _, key := range [2]outputKey{{route: route}, {route: route, workspace: workspace}} {
		r := o.byKey[key]
		if r == nil {
			continue
		}
		trust := r.count / (r.count + trustedCount)
		expected.Tokens += trust * (r.mean - expected.Tokens)
		expected.Error += trust * (r.err - expected.Error)
	}
	if declared > 0 {
		expected.Tokens = min(expected.Tokens, float64(declared))
	}
	return expected
}

// Observe records the output of a complete answer.
func (o *Outputs) Observe(route, workspace string, tokens int64) {
	if tokens < 0 {
		return
	}
	o.observe(outputKey{route: route}, float64(tokens))
	if workspace != "" {
		o.observe(outputKey{route: route, workspace: workspace}, float64(tokens))
	}
}

func (o *Outputs) observe(key outputKey, tokens float64) {
	r := o.byKey[key]
	if r == nil {
		if o.byKey == nil || len(o.byKey) >= maxOutputKeys {
			o.byKey = make(map[outputKey]*outputRecord)
		}
		r = &outputRecord{mean: tokens}
		o.byKey[key] = r
	}
	r.count = min(r.count+1, outputMemory)
	r.err += (math.Abs(tokens-r.mean) - r.err) / r.count
	r.mean += (tokens - r.mean) / r.count
}
