package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cassiachute/cassiachute/fixedseed"
	"github.com/cassiachute/cassiachute/retry"
)

// TestMain runs the tests of this package with fixed random seeds.
func TestMain(m *testing.M) { fixedseed.Main(m) }

// TestHistoryNeverRepeatsOrdersOrRefusesFalsely checks random sequences of results: a request
// that must not run twice is never sent again once it may have run, only a request that has not run
// is refused, no request is sent to more targets than its route allows, and every sequence ends.
func TestHistoryNeverRepeatsOrdersOrRefusesFalsely(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := retry.Rule{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
		}
		var h retry.History
		ran := false // a target may have run the request
		for sends, steps := 0, 0; ; steps++ {
			require.Less(t, steps, 20, "no final verdict after 20 results")
			result := rapid.SampledFrom([]retry.Result{
				retry.Unsent, retry.Rejected, retry.Failed, retry.Broken, retry.Silent,
			}).Draw(t, "result")
			if result != retry.Unsent {
				sends++
			}
			ran = ran || result >= retry.Failed
			h.Record(result)
			verdict := h.Decide(rule, result, func() bool { return rapid.Bool().Draw(t, "spend") })
			require.Equal(t, sends, h.Sends)
			require.LessOrEqual(t, sends, rule.Attempts)
			switch verdict {
			case retry.Resend:
				require.True(t, rule.Repeatable || !ran)
				if result != retry.Unsent {
					require.Less(t, sends, rule.Attempts)
				}
				continue
			case retry.Refuse:
				require.False(t, ran)
			case retry.Fail:
				require.True(t, ran)
			}
			return
		}
	})
}

// TestFleetRepeatsStayWithinAllowance checks that the repeats of all hosts together stay within
// ratio × requests + fixed repeats, however the requests are spread over the hosts.
func TestFleetRepeatsStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		fleet := make([]*retry.Allowance, hosts)
		for i := range fleet {
			fleet[i] = retry.NewAllowance(0.2, 50, 10*time.Second)
		}
		now := time.Unix(5000, 0)
		requests, repeats := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			allowance := fleet[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				allowance.Earn(now)
				requests++
			}
			for allowance.Spend(now, hosts) {
				repeats++
			}
		}
		require.LessOrEqual(t, float64(repeats), 0.2*float64(requests)+50)
	})
}

// TestAllowanceWindowSlides checks that repeats count against the allowance for one window, and no
// longer.
func TestAllowanceWindowSlides(t *testing.T) {
	allowance := retry.NewAllowance(0, 10, 10*time.Second)
	now := time.Unix(5000, 0)
	spent := 0
	for allowance.Spend(now, 1) {
		spent++
	}
	require.Equal(t, 8, spent) // safetyFactor × 10 fixed repeats
	require.False(t, allowance.Spend(now.Add(9*time.Second), 1))
	require.True(t, allowance.Spend(now.Add(11*time.Second), 1))
}
