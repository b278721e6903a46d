package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// activity is a kind of work that takes processor time.
type activity uint8

// The activities.
const (
	activityAdmit  activity = iota // route, team and limits of a request
	activityChoose                 // a target for a new request
	activityServe                  // targets for requests that wait
	activityNews                   // news of other hosts, and those that are told
	activitySend                   // requests written to targets
	activityPass                   // events of streams
	activityLog                    // lines of the log
	activities
)

// String returns the name of the activity.
func (a activity) String() string {
	return [...]string{"admit", "choose", "serve", "news", "send", "pass", "log"}[a]
}

// busy adds up the time spent on each activity. The time in which another thread ran
// counts as well, so the sum is an upper bound on hosts of several processors.
type busy struct {
	spent [activities]atomic.Int64 // ns
}

// add counts time spent on an activity.
func (b *busy) add(a activity, spent time.Duration) { b.spent[a].Add(int64(spent)) }

// since counts the time since an activity began.
func (b *busy) since(a activity, began time.Time) { b.add(a, time.Since(began)) }

// read returns the time that was spent on an activity.
func (b *busy) read(a activity) time.Duration { return time.Duration(b.spent[a].Load()) }

// MarshalZerologObject implements zerolog.LogObjectMarshaler, in milliseconds.
func (b *busy) MarshalZerologObject(event *zerolog.Event) {
	for a := range activities {
		event.Float64(a.String(), milliseconds(b.read(a)))
	}
}
