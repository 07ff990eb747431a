package workmodel

import "time"

// Service learns what the requests of one service cost at a target of normal speed.
// It isn't safe for concurrent use.
type Service struct {
	// firstEvent is the time to the first event in ms, over the tokens to be read first
	// in thousands.
	firstEvent Line
	// step is the time per output token in ms, over the number of requests running.
	step Line
	// duration is how long a request runs and wait how long it waits for the first event,
	// in ms. unread is the number of tokens that one has the target read.
	duration, wait, unread Mean
	// calibration is the mean of actual over expected times to the first event.
	calibration Mean
}

// The priors stand for an engine of the usual size until observations replace them:
// 20 ms and 18 ms per thousand tokens to the first event, 6 ms for a step and 0.1 ms
// more for each running request, and a second for a request.
const (
	priorFirstEvent  = 20
	priorReading     = 18
	typicalThousands = 4
	priorStep        = 6
	priorStepGrowth  = 0.1
	typicalRunning   = 16
	priorDuration    = 1000
)

// NewService returns a model without observations.
func NewService() *Service {
	return &Service{
		firstEvent: NewLine(priorFirstEvent, priorReading, typicalThousands),
		step:       NewLine(priorStep, priorStepGrowth, typicalRunning),
		duration:   NewMean(priorDuration),
		wait:       NewMean(priorFirstEvent),
		unread:     NewMean(0),

		calibration: NewMean(1),
	}
}

// Trust returns how far the times to first events are learned, from 0 to 1.
func (s *Service) Trust() float64 { return s.firstEvent.Trust() }

// Calibration returns the factor by which times to first events differ from the estimates
// of all targets. Without it, the targets in use seem fast where estimates are too long.
func (s *Service) Calibration() float64 { return s.calibration.Value() }

// ObserveCalibration records an actual over an expected time to the first event.
func (s *Service) ObserveCalibration(ratio float64) {
	s.calibration.Observe(min(max(ratio, 1/maxObservedRatio), maxObservedRatio))
}

// ReadTime returns the time in which a target reads tokens, in ms.
func (s *Service) ReadTime(tokens float64) float64 { return s.firstEvent.Slope() * tokens / 1000 }

// BaseTime returns the time to the first event without any reading or waiting, in ms.
func (s *Service) BaseTime() float64 { return s.firstEvent.Fixed() }

// StepGrowth returns how much longer an output token takes for each further request
// that runs, in ms.
func (s *Service) StepGrowth() float64 { return s.step.Slope() }

// Duration returns how long a request runs, in ms.
func (s *Service) Duration() float64 { return s.duration.Value() }

// Unread returns the number of tokens that a request has its target read.
func (s *Service) Unread() float64 { return s.unread.Value() }

// UnreadShare returns the share of the requests at a target that have had no first event
// yet.
func (s *Service) UnreadShare() float64 {
	return min(s.wait.Value()/max(s.duration.Value(), 1), 1)
}

// ObserveSend records the tokens that a request has its target read.
func (s *Service) ObserveSend(unread float64) { s.unread.Observe(unread) }

// ObserveWait records how long a request waited for its first event.
func (s *Service) ObserveWait(took time.Duration) { s.wait.Observe(milliseconds(took)) }

// ObserveFirstEvent records a time to the first event, less the wait for a slot, at
// normal speed, and the tokens that had to be read before.
func (s *Service) ObserveFirstEvent(took time.Duration, tokens float64) {
	s.firstEvent.Observe(tokens/1000, milliseconds(took))
}

// ObserveAnswer records how long a request ran, and for one with output tokens how long
// these took after the first event, with a number of requests running.
func (s *Service) ObserveAnswer(took, output time.Duration, tokens int64, running float64) {
	s.duration.Observe(milliseconds(took))
	if tokens > 1 && output > 0 {
		s.step.Observe(running, milliseconds(output)/float64(tokens))
	}
}

// milliseconds returns a duration as a number of ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
