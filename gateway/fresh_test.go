package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// writerFunc is a function that takes log lines.
type writerFunc func(line []byte)

// Write implements io.Writer.
func (f writerFunc) Write(line []byte) (int, error) {
	f(line)
	return len(line), nil
}

// As soon as a host is ready, callers may send requests to it. It must not refuse them because it does not yet
// know how old its configuration is.
func TestHostThatIsReadyKnowsTheAgeOfItsConfiguration(t *testing.T) {
	var g *Gateway
	var ages []time.Duration
	g = newIdleGateway(t, WithLog(zerolog.New(writerFunc(func([]byte) {
		if g != nil && g.core.table.Load() != nil {
			ages = append(ages, g.core.configAge())
		}
	}))))
	g.takeConfig([]byte(`{"version":1}`), sinceBoot())
	require.NotEmpty(t, ages, "the configuration was put in force without a line in the log")
	for _, age := range ages {
		require.Less(t, age, maxDenialAge)
	}
}
