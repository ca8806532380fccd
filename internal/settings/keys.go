package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// form is the shape of a key's value.
type form int

const (
	formText form = iota
	formName
	formAddress
	formURL
	formChoice
	formCount
	formDuration
	formFile
	formFiles
	formLinks
)

// Key documents and bounds one key.
type Key struct {
	Name string
	Unit string
	Doc  string

	form     form
	min, max int64 // For counts and durations, both included.
	choices  []string
	required bool
}

// maxPlatformTimeout leaves time for a second read within the 9 s in which a
// configuration must be in force.
const maxPlatformTimeout = 4 * time.Second

// Keys lists every key in the order of the file. The reference in
// docs/OPERATIONS.md is checked against it, and so is the Settings type.
func Keys() []Key {
	return []Key{
		{Name: "instance.name", Unit: "name", form: formName, required: true, Doc: "Name of the instance in logs, metrics and the instance list."},
		{Name: "instance.zone", Unit: "name", form: formName, required: true, Doc: "Availability zone that the instance runs in."},
		{Name: "instance.callers", Unit: "IP:port", form: formAddress, required: true, Doc: "Address for callers. Port 0 lets the kernel choose."},
		{Name: "instance.operators", Unit: "IP:port", form: formAddress, required: true, Doc: "Address for operators, metrics and the state dump. Keep callers away from it."},
		{Name: "instance.peers", Unit: "IP:port", form: formAddress, required: true, Doc: "Address for the other instances of the fleet."},
		{Name: "platform.url", Unit: "URL", form: formURL, required: true, Doc: "Base URL of the platform's log and instance list."},
		{Name: "platform.timeout", Unit: "duration", form: formDuration, min: int64(10 * time.Millisecond), max: int64(maxPlatformTimeout), Doc: "Longest wait for one answer of the platform; a long poll may take its own wait more."},
		{Name: "log.level", Unit: "level", form: formChoice, choices: []string{"debug", "info", "warn", "error"}, Doc: "Lowest level that is logged."},
		{Name: "log.format", Unit: "format", form: formChoice, choices: []string{"json", "console"}, Doc: "JSON for programs, console for people."},
		{Name: "ledger.partitions", Unit: "streams", form: formCount, min: 1, max: 4096, Doc: "Ledger partitions. The same for the whole fleet, and never changed: it decides on which stream a budget lives."},
		{Name: "ledger.grant_tokens", Unit: "tokens", form: formCount, min: 1, max: 1_000_000_000, Doc: "Largest grant that an instance takes at once. Large grants serve longer behind a cut and trap more of the budget there."},
		{Name: "ledger.linger", Unit: "duration", form: formDuration, min: 0, max: int64(time.Second), Doc: "How long the first record of a batch waits for others. One append per linger and stream is the most that an instance sends."},
		{Name: "ledger.patience", Unit: "duration", form: formDuration, min: int64(10 * time.Millisecond), max: int64(time.Minute), Doc: "How long a request waits for a grant before it is refused."},
		{Name: "limits.body_bytes", Unit: "bytes", form: formCount, min: 1 << 10, max: 64 << 20, Doc: "Largest request body."},
		{Name: "limits.answer_bytes", Unit: "bytes", form: formCount, min: 1 << 10, max: 256 << 20, Doc: "Largest answer that is held whole."},
		{Name: "limits.max_tokens", Unit: "tokens", form: formCount, min: 1, max: 1 << 20, Doc: "Most output tokens of one request. One that names none gets 256."},
		{Name: "limits.prompt_bytes_per_token", Unit: "bytes", form: formCount, min: 1, max: 4, Doc: "Bytes of a prompt that one token stands for in its reservation; 1 is the worst case of any tokenizer. What an engine counts above the reservation is not billed."},
		{Name: "limits.first_token", Unit: "duration", form: formDuration, min: int64(100 * time.Millisecond), max: int64(time.Hour), Doc: "Longest wait for the first token before the request is refused."},
		{Name: "limits.service_answer", Unit: "duration", form: formDuration, min: int64(100 * time.Millisecond), max: int64(time.Hour), Doc: "Longest wait for a plain service's answer."},
		{Name: "limits.progress", Unit: "duration", form: formDuration, min: int64(100 * time.Millisecond), max: int64(time.Hour), Doc: "Longest time that a begun answer goes without a token before its endpoint is given up."},
		{Name: "sessions.current_key", Unit: "key id", form: formText, required: true, Doc: "Id of the key that signs new sessions; one of sessions.key_files."},
		{Name: "sessions.key_files", Unit: "file by key id", form: formFiles, required: true, Doc: "Files with the session signing keys. Keep an old key until its last session has ended."},
		{Name: "operator.token_file", Unit: "file", form: formFile, required: true, Doc: "File with the fleet operators' token."},
		{Name: "snapshots.every", Unit: "duration", form: formDuration, min: int64(100 * time.Millisecond), max: int64(24 * time.Hour), Doc: "Longest time between two snapshots of a stream. Keep it below half of the time that the log keeps records."},
		{Name: "tls.certificate", Unit: "file", form: formFile, Doc: "This instance's certificate with its IP numbers, in PEM; shown on its listeners and to other instances. Read again when it changes."},
		{Name: "tls.key", Unit: "file", form: formFile, Doc: "The certificate's key, in PEM."},
		{Name: "tls.peers_ca", Unit: "file", form: formFile, Doc: "Authorities that sign the instances' certificates. Whoever holds such a certificate is taken for an instance."},
		{Name: "tls.outside_ca", Unit: "file", form: formFile, Doc: "Authorities that sign the platform's and the endpoints' certificates."},
		{Name: "tls.plain", Unit: "interfaces", form: formLinks, Doc: "Interfaces without TLS, by name. Without a certificate for them all others are a finding."},
	}
}

// Allowed says which values the key takes.
func (k Key) Allowed() string {
	switch k.form {
	case formName:
		return "lower-case letters, digits and dashes, at most 63"
	case formAddress:
		return "IP:port, an IP number and not a host name"
	case formURL:
		return "http://IP:port or https://IP:port"
	case formChoice:
		return strings.Join(k.choices, ", ")
	case formCount:
		return fmt.Sprintf("%d to %d", k.min, k.max)
	case formDuration:
		return fmt.Sprintf("%s to %s", time.Duration(k.min), time.Duration(k.max))
	case formFile:
		return "a file's path"
	case formLinks:
		return "a list of " + strings.Join(links(), ", ")
	case formFiles:
		return "at least one file"
	default:
		return "any text"
	}
}

func links() []string {
	return []string{LinkCallers, LinkOperators, LinkPeers, LinkPlatform, LinkEndpoints}
}

// DefaultText is the key's default as it stands in a file of an instance with
// guavapier's own interface; "" for none.
func (k Key) DefaultText() string { return k.defaultIn(Default()) }

// defaultIn is the key's default among the given ones.
func (k Key) defaultIn(defaults any) string {
	field, ok := fieldOf(reflect.ValueOf(defaults), strings.Split(k.Name, "."))
	if !ok || k.required {
		return ""
	}
	if d, ok := field.Interface().(Duration); ok {
		return d.D().String()
	}
	if field.IsZero() {
		return "none"
	}
	return fmt.Sprint(field.Interface())
}

// tables lists the tables' headers.
func tables(keys []Key) []string {
	var names []string
	for _, k := range keys {
		table, _, _ := strings.Cut(k.Name, ".")
		if !slices.Contains(names, table) {
			names = append(names, table)
		}
	}
	return names
}

// nearest says which keys stand in the table of an unknown one.
func nearest(keys []Key, name string) string {
	table, _, _ := strings.Cut(name, ".")
	var names []string
	for _, k := range keys {
		if rest, ok := strings.CutPrefix(k.Name, table+"."); ok {
			names = append(names, rest)
		}
	}
	if len(names) == 0 {
		return "allowed tables: " + strings.Join(tables(keys), ", ")
	}
	return "allowed in [" + table + "]: " + strings.Join(names, ", ")
}

// Reference returns the keys as a table in Markdown.
func Reference() string { return reference(Keys(), Default()) }

func reference(keys []Key, defaults any) string {
	var b strings.Builder
	b.WriteString("| key | unit | default | allowed | what it does |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range keys {
		value := k.defaultIn(defaults)
		if value == "" {
			value = "must be set"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.Name, k.Unit, value, k.Allowed(), k.Doc)
	}
	return b.String()
}
