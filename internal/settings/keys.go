package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// kind is the syntax of a key's value; see Key.Allowed.
type kind int

const (
	kindText kind = iota
	kindLabel
	kindAddress
	kindURL
	kindChoice
	kindCount
	kindDuration
	kindFile
	kindFiles
	kindInterfaces
	kindSwitch
)

// Key documents one key of the file and defines its valid values.
type Key struct {
	Name string // table.key
	Unit string
	Doc  string

	kind     kind
	min, max int64 // Inclusive; for counts, and for durations in nanoseconds.
	choices  []string
	required bool
}

// maxPlatformTimeout bounds the timeout of a call to the platform. It leaves time
// for a second read within the 9 s in which a configuration must take effect.
const maxPlatformTimeout = 4 * time.Second

// Keys returns every key, in the order of the file. Tests compare the reference
// in docs/OPERATIONS.md and the fields of Settings with it.
func Keys() []Key {
	return []Key{
		{Name: "instance.name", Unit: "name", kind: kindLabel, required: true, Doc: "Name of the instance in logs, metrics and the instance list."},
		{Name: "instance.zone", Unit: "name", kind: kindLabel, required: true, Doc: "Availability zone that the instance runs in."},
		{Name: "instance.callers", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address for callers. Port 0 lets the kernel choose."},
		{Name: "instance.operators", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address for operators, metrics and the state dump. Keep callers away from it."},
		{Name: "instance.peers", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address for the other instances of the fleet."},
		{Name: "platform.url", Unit: "URL", kind: kindURL, required: true, Doc: "Base URL of the platform's log and instance list."},
		{Name: "platform.timeout", Unit: "duration", kind: kindDuration, min: int64(10 * time.Millisecond), max: int64(maxPlatformTimeout), Doc: "Longest wait for one answer of the platform; a long poll may take its own wait more."},
		{Name: "log.level", Unit: "level", kind: kindChoice, choices: []string{"debug", "info", "warn", "error"}, Doc: "Lowest level that is logged."},
		{Name: "log.format", Unit: "format", kind: kindChoice, choices: []string{"json", "console"}, Doc: "JSON for programs, console for people."},
		{Name: "ledger.partitions", Unit: "streams", kind: kindCount, min: 1, max: 4096, Doc: "Ledger partitions. The same for the whole fleet, and never changed: it decides on which stream a budget lives."},
		{Name: "ledger.grant_tokens", Unit: "tokens", kind: kindCount, min: 1, max: 1_000_000_000, Doc: "Largest grant that an instance takes at once. Large grants serve longer behind a cut and trap more of the budget there."},
		{Name: "ledger.linger", Unit: "duration", kind: kindDuration, min: 0, max: int64(time.Second), Doc: "How long the first record of a batch waits for others. One append per linger and stream is the most that an instance sends."},
		{Name: "ledger.patience", Unit: "duration", kind: kindDuration, min: int64(10 * time.Millisecond), max: int64(time.Minute), Doc: "How long a request waits for a grant before it is refused."},
		{Name: "limits.body_bytes", Unit: "bytes", kind: kindCount, min: 1 << 10, max: 64 << 20, Doc: "Largest request body."},
		{Name: "limits.answer_bytes", Unit: "bytes", kind: kindCount, min: 1 << 10, max: 256 << 20, Doc: "Largest answer that is held whole."},
		{Name: "limits.max_tokens", Unit: "tokens", kind: kindCount, min: 1, max: 1 << 20, Doc: "Most output tokens of one request. One that names none gets 256."},
		{Name: "limits.prompt_bytes_per_token", Unit: "bytes", kind: kindCount, min: 1, max: 4, Doc: "Bytes of a prompt that one token stands for in its reservation; 1 is the worst case of any tokenizer. What an engine counts above the reservation is not billed."},
		{Name: "limits.first_token", Unit: "duration", kind: kindDuration, min: int64(100 * time.Millisecond), max: int64(time.Hour), Doc: "Longest wait for the first token before the request is refused."},
		{Name: "limits.service_answer", Unit: "duration", kind: kindDuration, min: int64(100 * time.Millisecond), max: int64(time.Hour), Doc: "Longest wait for a plain service's answer."},
		{Name: "limits.progress", Unit: "duration", kind: kindDuration, min: int64(100 * time.Millisecond), max: int64(time.Hour), Doc: "Longest time that a begun answer goes without a token before its endpoint is given up."},
		{Name: "sessions.current_key", Unit: "key id", kind: kindText, required: true, Doc: "Id of the key that signs new sessions; one of sessions.key_files."},
		{Name: "sessions.key_files", Unit: "file by key id", kind: kindFiles, required: true, Doc: "Files with the session signing keys. Keep an old key until its last session has ended."},
		{Name: "operator.token_file", Unit: "file", kind: kindFile, required: true, Doc: "File with the fleet operators' token."},
		{Name: "snapshots.every", Unit: "duration", kind: kindDuration, min: int64(100 * time.Millisecond), max: int64(24 * time.Hour), Doc: "Longest time between two snapshots of a stream. Keep it below half of the time that the log keeps records."},
		{Name: "tls.certificate", Unit: "file", kind: kindFile, Doc: "This instance's certificate with its IP numbers, in PEM; shown on its listeners and to other instances. Read again when it changes."},
		{Name: "tls.key", Unit: "file", kind: kindFile, Doc: "The certificate's key, in PEM."},
		{Name: "tls.peers_ca", Unit: "file", kind: kindFile, Doc: "Authorities that sign the instances' certificates. Whoever holds such a certificate is taken for an instance."},
		{Name: "tls.outside_ca", Unit: "file", kind: kindFile, Doc: "Authorities that sign the platform's and the endpoints' certificates."},
		{Name: "tls.plain", Unit: "interfaces", kind: kindInterfaces, Doc: "Interfaces without TLS, by name. Without a certificate for them all others are a finding."},
	}
}

// Allowed describes the valid values of the key.
func (k Key) Allowed() string {
	switch k.kind {
	case kindLabel:
		return "lower-case letters, digits and dashes, at most 63"
	case kindAddress:
		return "IP:port, an IP number and not a host name"
	case kindURL:
		return "http://IP:port or https://IP:port"
	case kindChoice:
		return strings.Join(k.choices, ", ")
	case kindCount:
		return fmt.Sprintf("%d to %d", k.min, k.max)
	case kindDuration:
		return fmt.Sprintf("%s to %s", time.Duration(k.min), time.Duration(k.max))
	case kindFile:
		return "a file's path"
	case kindInterfaces:
		return "a list of " + strings.Join(interfaceNames(), ", ")
	case kindFiles:
		return "at least one file"
	case kindSwitch:
		return "true, false"
	default:
		return "any text"
	}
}

// interfaceNames returns the names that tls.plain may list.
func interfaceNames() []string {
	return []string{InterfaceCallers, InterfaceOperators, InterfacePeers, InterfacePlatform, InterfaceEndpoints}
}

// DefaultText returns the key's default value in a file of Settings, as text: ""
// for a required key, "none" for a zero value.
func (k Key) DefaultText() string { return k.defaultTextFrom(Default()) }

// defaultTextFrom returns the key's value in a struct of defaults, as DefaultText
// does.
func (k Key) defaultTextFrom(defaults any) string {
	field, ok := fieldByKey(reflect.ValueOf(defaults), strings.Split(k.Name, "."))
	if !ok || k.required {
		return ""
	}
	if d, ok := field.Interface().(Duration); ok {
		return d.D().String()
	}
	if field.IsZero() && k.kind != kindSwitch {
		return "none"
	}
	return fmt.Sprint(field.Interface())
}

// tableNames returns the names of the tables that the keys are in.
func tableNames(keys []Key) []string {
	var names []string
	for _, k := range keys {
		table, _, _ := strings.Cut(k.Name, ".")
		if !slices.Contains(names, table) {
			names = append(names, table)
		}
	}
	return names
}

// suggestKeys lists, for a finding, the valid keys in the table of an unknown key,
// or the valid tables if that table is unknown too.
func suggestKeys(keys []Key, name string) string {
	table, _, _ := strings.Cut(name, ".")
	var names []string
	for _, k := range keys {
		if keyName, ok := strings.CutPrefix(k.Name, table+"."); ok {
			names = append(names, keyName)
		}
	}
	if len(names) == 0 {
		return "allowed tables: " + strings.Join(tableNames(keys), ", ")
	}
	return "allowed in [" + table + "]: " + strings.Join(names, ", ")
}

// Reference returns the keys of Settings as a Markdown table.
func Reference() string { return keyTable(Keys(), Default()) }

// keyTable returns a Markdown table of keys with their defaults.
func keyTable(keys []Key, defaults any) string {
	var b strings.Builder
	b.WriteString("| key | unit | default | allowed | what it does |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range keys {
		value := k.defaultTextFrom(defaults)
		if value == "" {
			value = "must be set"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, k.Unit, value, k.Allowed(), k.Doc)
	}
	return b.String()
}
