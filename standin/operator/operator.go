// Package operator is a stand-in for the operator of the users' platform and for the
// targets' own entries there: it writes configurations and entries to the store.
package operator

import (
	"encoding/json"

	"github.com/cassiachute/cassiachute/platform"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// Document is a configuration.
type Document struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"tenants"`
	Limits   Limits    `json:"limits"`
}

// Route is a route of a configuration. Times are in milliseconds.
type Route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeoutMs"`
	Aim      int    `json:"targetLatencyMs"`
	Pause    int    `json:"gapTargetMs"`
	Service  string `json:"service"`
	Attempts int    `json:"maxAttempts"`
	Public   bool   `json:"public"`
	Resume   bool   `json:"streamResume"`
}

// Kinds of routes.
const (
	KindLookup = "idempotent"
	KindOrder  = "non_idempotent"
	KindStream = "streaming"
)

// Service is a service of a configuration.
type Service struct {
	Name        string  `json:"name"`
	Connections int     `json:"maxConns,omitempty"`
	Engine      *Engine `json:"engine,omitempty"`
}

// Engine says what the engines of a service can hold.
type Engine struct {
	Slots  int `json:"slots"`
	Memory int `json:"kvCapacity"`
}

// Team is a team and its keys.
type Team struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

// Limits bound callers.
type Limits struct {
	Idle int `json:"idleTimeoutMs"`
}

// Entry is the entry of a target.
type Entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Place   string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Born    int64  `json:"born"`
}

// States of targets.
const (
	StateReady   = "ready"
	StateLeaving = "draining"
)

// Publish writes a configuration to the store.
func Publish(store *standin.Platform, d Document) error {
	body, err := json.Marshal(d)
	if err == nil {
		write(store, platform.TableOperator, platform.KeyConfig, body)
	}
	return err
}

// List writes the entry of a target.
func List(store *standin.Platform, id string, e Entry) error {
	body, err := json.Marshal(e)
	if err == nil {
		write(store, platform.TableTargets, id, body)
	}
	return err
}

// ListRaw writes bytes as the entry of a target.
func ListRaw(store *standin.Platform, id string, body []byte) {
	write(store, platform.TableTargets, id, body)
}

// Unlist removes the entry of a target.
func Unlist(store *standin.Platform, id string) {
	store.Transact(platform.TransactRequest{Drops: []platform.RowItem{{Table: platform.TableTargets, Key: id}}})
}

func write(store *standin.Platform, table, key string, body []byte) {
	store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: table, Key: key, Value: body}}})
}
