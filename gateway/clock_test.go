package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Hosts send ages in milliseconds as a uint32. An age beyond its range must be sent as the largest value:
// if it wrapped around, old data would look new.
func TestAgeMillisSaturates(t *testing.T) {
	require.Equal(t, uint32(1500), ageMillis(1500*time.Millisecond))
	require.Equal(t, uint32(math.MaxUint32), ageMillis(50*24*time.Hour))
	require.Zero(t, ageMillis(-time.Second))
}
