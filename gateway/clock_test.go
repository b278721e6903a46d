package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An age beyond the range of the message field must not wrap around and look new.
func TestAgeMillisSaturates(t *testing.T) {
	require.Equal(t, uint32(1500), ageMillis(1500*time.Millisecond))
	require.Equal(t, uint32(math.MaxUint32), ageMillis(50*24*time.Hour))
	require.Zero(t, ageMillis(-time.Second))
}
