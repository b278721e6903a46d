package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// activity is a kind of work whose time is measured.
type activity uint8

// The activities. Their names are those of activity.String.
const (
	activityAdmit     activity = iota // route and team of a new request, and whether it is admitted
	activityChoose                    // choice of a target for a new request
	activityServe                     // choice of targets for requests that wait
	activityHostState                 // state reports sent to and received from other hosts
	activitySend                      // writing of requests to targets
	activityPass                      // forwarding of stream events
	activityLog                       // writing of log lines
	activityCount                     // number of activities
)

// String returns the name of the activity in logs and metrics.
func (a activity) String() string {
	return [...]string{"admit", "choose", "serve", "news", "send", "pass", "log"}[a]
}

// activityTimes adds up the wall time spent on each activity. Time in which the goroutine was
// descheduled counts as well, so the sum is an upper bound of the processor time.
type activityTimes struct {
	spent [activityCount]atomic.Int64 // ns
}

// add adds time to an activity.
func (t *activityTimes) add(a activity, spent time.Duration) { t.spent[a].Add(int64(spent)) }

// addSince adds the time since an activity began.
func (t *activityTimes) addSince(a activity, began time.Time) { t.add(a, time.Since(began)) }

// total returns the time spent on an activity so far.
func (t *activityTimes) total(a activity) time.Duration { return time.Duration(t.spent[a].Load()) }

// MarshalZerologObject implements zerolog.LogObjectMarshaler, with times in milliseconds.
func (t *activityTimes) MarshalZerologObject(event *zerolog.Event) {
	for a := range activityCount {
		event.Float64(a.String(), milliseconds(t.total(a)))
	}
}
