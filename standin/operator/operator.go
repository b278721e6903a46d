// Package operator is a stand-in for the operator of the users' platform and for the
// targets that register themselves there: it writes configurations and the entries of
// targets to the store.
package operator

import (
	"encoding/json"

	"github.com/cassiachute/cassiachute/platform"
)

// Config is a configuration as the operator writes it.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"tenants"`
	Limits   Limits    `json:"limits"`
}

// Route is a route of a configuration. Its times are in milliseconds.
type Route struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	Prefix        string `json:"prefix"`
	Kind          string `json:"kind"`
	Timeout       int    `json:"timeoutMs"`
	LatencyTarget int    `json:"targetLatencyMs"`
	GapTarget     int    `json:"gapTargetMs"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"maxAttempts"`
	Public        bool   `json:"public"`
	Resume        bool   `json:"streamResume"`
}

// Kinds of routes.
const (
	KindLookup = "idempotent"
	KindOrder  = "non_idempotent"
	KindStream = "streaming"
)

// Service is a service of a configuration.
type Service struct {
	Name           string          `json:"name"`
	MaxConnections int             `json:"maxConns,omitempty"`
	Engine         *EngineCapacity `json:"engine,omitempty"`
	ColdStart      float64         `json:"coldStartS,omitempty"` // seconds for which a target is cold after its start
	ColdRate       float64         `json:"coldPerS,omitempty"`   // requests per second that a cold target can take
}

// EngineCapacity is the capacity of each engine of a service.
type EngineCapacity struct {
	Slots         int `json:"slots"`
	TokenCapacity int `json:"kvCapacity"`
}

// Team is a team and its API keys.
type Team struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

// Limits holds the limits on callers. Its times are in milliseconds.
type Limits struct {
	IdleTimeout int `json:"idleTimeoutMs"`
}

// Entry is the entry with which a target registers itself in the store.
type Entry struct {
	Service   string `json:"service"`
	Address   string `json:"address"`
	Place     string `json:"zone"`
	Slots     int    `json:"slots"`
	State     string `json:"state"`
	StartedAt int64  `json:"born"`
	Cold      int64  `json:"coldRemainingMs,omitempty"` // milliseconds left until the target is warm
}

// States of targets in their entries.
const (
	StateReady   = "ready"
	StateLeaving = "draining"
)

// evacuationPrefix begins the keys of rows that each evacuate a data centre.
const evacuationPrefix = "evacuate/"

// Publish writes a configuration to the store.
func Publish(store Store, d Config) error {
	body, err := json.Marshal(d)
	if err == nil {
		write(store, platform.TableOperator, platform.KeyConfig, body)
	}
	return err
}

// PutEntry writes the entry of a target.
func PutEntry(store Store, id string, e Entry) error {
	body, err := json.Marshal(e)
	if err == nil {
		write(store, platform.TableTargets, id, body)
	}
	return err
}

// PutRawEntry writes bytes, which may be malformed, as the entry of a target.
func PutRawEntry(store Store, id string, body []byte) {
	write(store, platform.TableTargets, id, body)
}

// DeleteEntry removes the entry of a target.
func DeleteEntry(store Store, id string) {
	store.Transact(platform.TransactRequest{Removals: []platform.RowItem{{Table: platform.TableTargets, Key: id}}})
}

// Evacuate writes the row that evacuates a data centre. Only its key counts, the value may be malformed.
func Evacuate(store Store, place string, value []byte) {
	write(store, platform.TableOperator, evacuationPrefix+place, value)
}

// EndEvacuation removes the row that evacuates a data centre.
func EndEvacuation(store Store, place string) {
	store.Transact(platform.TransactRequest{Removals: []platform.RowItem{{Table: platform.TableOperator, Key: evacuationPrefix + place}}})
}

func write(store Store, table, key string, body []byte) {
	store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: table, Key: key, Value: body}}})
}
