//go:build review

package kit

import (
	_ "embed"
	"encoding/json"
)

// headersFile holds the names of headers that the packages of the project do not export.
//
//go:embed headers.json
var headersFile []byte

// Headers are names of headers on the wire.
var Headers = readHeaders()

// headerNames is the content of headers.json.
type headerNames struct {
	Expected string `json:"expected"` // id of the replica that is meant
	NotRun   string `json:"notrun"`   // the replica did not run the request
	Prompt   string `json:"prompt"`   // parts of the prompt
	Model    string `json:"model"`
}

func readHeaders() headerNames {
	var names headerNames
	if err := json.Unmarshal(headersFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}
