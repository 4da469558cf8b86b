package host

import "time"

// Event is an input of the gate.
type Event interface{ isEvent() }

// Action is an output of the gate.
type Action interface{ isAction() }

// Arrived brings an attempt to the gate.
type Arrived struct {
	Attempt Attempt
}

// Ended says that the upstream no longer works on an attempt.
type Ended struct {
	ID AttemptID
}

// Cancelled withdraws an attempt.
type Cancelled struct {
	ID AttemptID
}

// Announced brings an upstream's announcement.
type Announced struct {
	Announcement Announcement
	// Lapse is when the announcement counts no more.
	Lapse time.Time
}

// Lost says that the upstream's own connections fail.
type Lost struct{}

// Drain stops new work for good.
type Drain struct{}

// Tick lets time pass.
type Tick struct{}

func (Arrived) isEvent()   {}
func (Ended) isEvent()     {}
func (Cancelled) isEvent() {}
func (Announced) isEvent() {}
func (Lost) isEvent()      {}
func (Drain) isEvent()     {}
func (Tick) isEvent()      {}

// Dispatch sends an attempt to the upstream.
type Dispatch struct {
	ID      AttemptID
	Address string
}

// Refuse ends an attempt that did not run.
type Refuse struct {
	ID     AttemptID
	Reason Reason
	// ComeBack is when another attempt makes sense.
	ComeBack time.Time
}

// Interrupt cancels an attempt that the upstream runs.
type Interrupt struct {
	ID AttemptID
}

func (Dispatch) isAction()  {}
func (Refuse) isAction()    {}
func (Interrupt) isAction() {}
