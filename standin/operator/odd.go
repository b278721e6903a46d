package operator

import "strings"

// invalidEntries are values of entries that are malformed or name no target of a known service.
var invalidEntries = []string{
	"", "{", "null", "7", `"x"`, "[]", `{"service":"model"}`,
	`{"service":"model","address":"127.0.0.1:9","zone":"place1","slots":8,"state":"resting"}`,
	`{"service":"model","address":"nowhere","zone":"place1","slots":8,"state":"ready"}`,
	`{"service":"model","address":"127.0.0.1:99999","zone":"place1","slots":8,"state":"ready"}`,
	`{"service":"model","address":"127.0.0.1:9","zone":"place1","slots":-1,"state":"ready"}`,
	`{"service":"model","address":"127.0.0.1:9","zone":"place1","slots":1e400,"state":"ready"}`,
	`{"service":"model","address":"127.0.0.1:9","zone":"place1","slots":"8","state":"ready"}`,
	`{"service":["model"],"address":"127.0.0.1:9","zone":"place1","slots":8,"state":"ready"}`,
	`{"service":"unknown","address":"127.0.0.1:9","zone":"place1","slots":1099511627776,"state":"ready"}`,
	`{"service":"model","born":"` + strings.Repeat("x", 60000) + `"}`,
	`{"service":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
}

// InvalidEntry returns the value of an invalid entry. The random number draw selects it.
func InvalidEntry(draw uint64) []byte {
	return []byte(invalidEntries[draw%uint64(len(invalidEntries))])
}
