package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/retry"
)

// window is the window of the tested Allowance.
const window = 10 * time.Second

// TestBurstsOfRepeatsWithinAWindowAreBounded guards against two bursts of repeats, less than a
// window apart, that spend the allowance of two windows.
func TestBurstsOfRepeatsWithinAWindowAreBounded(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 50 * time.Millisecond {
		a := retry.NewAllowance(.2, 20, window)
		first, second := 9*time.Second+phase, 18*time.Second+phase+150*time.Millisecond
		began, repeats := time.Now(), 0
		for at := time.Duration(0); at <= second; at += 10 * time.Millisecond {
			now := began.Add(at)
			a.Earn(now)
			if at != first && at != second {
				continue
			}
			for n := 0; n < 150 && a.Spend(now, 1); n++ {
				repeats++
			}
		}
		require.LessOrEqual(t, repeats, 220, "from %v", first) // with 100 requests a second
	}
}
