package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/retry"
)

// window is the length of the sliding window in which the tested Allowance limits repeats.
const window = 10 * time.Second

// TestBurstsOfRepeatsWithinAWindowAreBounded guards against two bursts of repeats, less than a
// window apart, that each spend a full allowance. Together they may spend that of one window,
// wherever they lie relative to the slices in which the window is counted.
func TestBurstsOfRepeatsWithinAWindowAreBounded(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 50 * time.Millisecond {
		allowance := retry.NewAllowance(.2, 20, window)
		first, second := 9*time.Second+phase, 18*time.Second+phase+150*time.Millisecond
		start, repeats := time.Now(), 0
		for elapsed := time.Duration(0); elapsed <= second; elapsed += 10 * time.Millisecond {
			now := start.Add(elapsed)
			allowance.Earn(now)
			if elapsed != first && elapsed != second {
				continue
			}
			for n := 0; n < 150 && allowance.Spend(now, 1); n++ {
				repeats++
			}
		}
		require.LessOrEqual(t, repeats, 220, "from %v", first) // ratio × 100 requests a second × window + fixed repeats
	}
}
