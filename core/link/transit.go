package link

import "time"

// transitWindow is how long the fastest message of a peer is remembered at least. It is
// short enough that clocks do not drift apart much.
const transitWindow = 30 * time.Second

// Transit estimates how long the messages of one peer process are delayed on the way,
// from their send times on the peer's clock. The clocks of both ends must not step, but
// need no common zero: the smallest recent difference between receive time and send time
// stands for no delay. A peer whose messages are all delayed looks undelayed.
type Transit struct {
	// current and previous are the smallest differences in two consecutive windows.
	current, previous difference
	// rotateAt is the receive time at which the current window ends.
	rotateAt time.Duration
}

// difference is a receive time minus a send time.
type difference struct {
	known bool
	value time.Duration
}

func (di *difference) lower(value time.Duration) {
	if !di.known || value < di.value {
		di.known = true
		di.value = value
	}
}

// Delay returns by how much longer a message was under way than the fastest recent one.
func (tr *Transit) Delay(sentAt, receivedAt time.Duration) time.Duration {
	if receivedAt >= tr.rotateAt {
		tr.previous = tr.current
		if receivedAt >= tr.rotateAt+transitWindow {
			tr.previous = difference{}
		}
		tr.current = difference{}
		tr.rotateAt = receivedAt + transitWindow
	}
	value := receivedAt - sentAt
	tr.current.lower(value)
	smallest := tr.current.value
	if tr.previous.known {
		smallest = min(smallest, tr.previous.value)
	}
	return value - smallest
}
