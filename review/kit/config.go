//go:build review

package kit

import "github.com/cassiachute/cassiachute/standin/operator"

// Host is the host name of all routes.
const Host = "desk.example"

// Services and teams of the configuration.
const (
	ServiceModel = "model"
	ServiceDesk  = "desk"
	Team         = "team-a"
	Key          = "key-a"
	SecondKey    = "key-b"
)

// Config returns a configuration like that of the site guild-tint: three kinds of streams, orders and lookups.
func Config() operator.Config {
	return operator.Config{
		Version: 7,
		Routes: []operator.Route{
			{Name: "full", Host: Host, Prefix: "/full/", Kind: operator.KindStream, Timeout: 15000, LatencyTarget: 600, GapTarget: 250, Service: ServiceModel, MaxAttempts: 2, Resume: true},
			{Name: "ask", Host: Host, Prefix: "/ask/", Kind: operator.KindStream, Timeout: 12000, LatencyTarget: 600, GapTarget: 250, Service: ServiceModel, MaxAttempts: 1},
			{Name: "order", Host: Host, Prefix: "/order/", Kind: operator.KindOrder, Timeout: 800, LatencyTarget: 150, Service: ServiceDesk, MaxAttempts: 1},
			{Name: "lookup", Host: Host, Prefix: "/lookup/", Kind: operator.KindLookup, Timeout: 800, LatencyTarget: 150, Service: ServiceDesk, MaxAttempts: 2},
		},
		Services: []operator.Service{
			{Name: ServiceModel, MaxConnections: 620, Engine: &operator.EngineCapacity{Slots: 128, TokenCapacity: 953186}},
			{Name: ServiceDesk, MaxConnections: 100},
		},
		Teams:  []operator.Team{{Name: Team, Keys: []string{Key}}, {Name: "team-b", Keys: []string{SecondKey}}},
		Limits: operator.Limits{IdleTimeout: 15000}, // maxBodyBytes is added when it is published
	}
}
