package settings

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Parse parses and checks the text of a settings file. The findings give name as
// the file. An error is Findings and holds all errors in the text, except those
// after a syntax error at which reading stops.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	p := newFileParser(name, &s, Keys())
	p.crossCheck = func() { p.crossCheckSettings(&s) }
	if err := p.run(data); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// fileParser reads and checks one settings file.
type fileParser struct {
	file       string
	root       reflect.Value // The struct that the file's values are set in.
	keys       []Key         // The keys of that struct.
	crossCheck func()        // Checks rules that involve several keys.
	findings   Findings
	// keyLines holds the line of each key and table in the file.
	keyLines map[string]int
	// hasFinding holds the keys and tables that have a finding. They are not checked
	// further, so that one mistake is reported once.
	hasFinding map[string]bool
	// isTruncated reports that a syntax error ended the reading before the end of the
	// text.
	isTruncated bool
}

// newFileParser returns a fileParser that sets values in the struct that target
// points to, which holds the defaults.
func newFileParser(file string, target any, keys []Key) *fileParser {
	return &fileParser{
		file: file, root: reflect.ValueOf(target).Elem(), keys: keys, crossCheck: func() {},
		keyLines: map[string]int{}, hasFinding: map[string]bool{},
	}
}

// run reads and checks the text. An error is Findings.
func (p *fileParser) run(data []byte) error {
	p.readExpressions(data)
	p.checkSyntax(data)
	p.checkValues()
	if len(p.findings) == 0 {
		return nil
	}
	p.findings.sort()
	return p.findings
}

// addFinding adds a finding. Line is 0 for a key that the text lacks.
func (p *fileParser) addFinding(line int, key, format string, args ...any) {
	p.hasFinding[key] = true
	p.findings = append(p.findings, Finding{File: p.file, Line: line, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// checkSyntax reports the first error of the TOML decoder, which also detects keys
// that are set twice. It reports nothing for a line that has a finding already.
func (p *fileParser) checkSyntax(data []byte) {
	var document map[string]any
	var decodeErr *toml.DecodeError
	if err := toml.Unmarshal(data, &document); errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		if slices.ContainsFunc(p.findings, func(f Finding) bool { return f.Line == line }) {
			return
		}
		p.addFinding(line, "toml", "%s", strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
}

// readExpressions sets the value of every key in the text, and reports keys that
// are unknown or have a value of the wrong type.
func (p *fileParser) readExpressions(data []byte) {
	var reader unstable.Parser
	reader.Reset(data)
	table := []string{}
	for reader.NextExpression() {
		node := reader.Expression()
		line := lineOfExpression(&reader, data, node)
		switch node.Kind {
		case unstable.Table:
			table = keyParts(node)
			p.checkTableHeader(line, table)
		case unstable.ArrayTable:
			table = keyParts(node)
			p.addFinding(line, strings.Join(table, "."), "is a list of tables; allowed: [%s], once", strings.Join(table, "."))
		case unstable.KeyValue:
			p.setValue(line, append(table[:len(table):len(table)], keyParts(node)...), node.Value())
		}
	}
	p.reportParseError(&reader)
}

// reportParseError reports the syntax error, if any, at which reading stopped.
func (p *fileParser) reportParseError(reader *unstable.Parser) {
	var parseErr *unstable.ParserError
	if !errors.As(reader.Error(), &parseErr) {
		return
	}
	p.isTruncated = true
	line := reader.Shape(reader.Range(parseErr.Highlight)).Start.Line
	p.addFinding(line, "toml", "%s; nothing after it was read", parseErr.Message)
}

// lineOfExpression returns the line, from 1, of the first key of an expression, or
// 0 if it has none.
func lineOfExpression(reader *unstable.Parser, data []byte, node *unstable.Node) int {
	keys := node.Key()
	if !keys.Next() {
		return 0
	}
	start := keys.Node().Raw.Offset
	return 1 + bytes.Count(reader.Data()[:min(int(start), len(data))], []byte("\n"))
}

// keyParts returns the parts of an expression's dotted key.
func keyParts(node *unstable.Node) []string {
	var key []string
	parts := node.Key()
	for parts.Next() {
		key = append(key, string(parts.Node().Data))
	}
	return key
}

// checkTableHeader records the line of a table, or reports an unknown table.
func (p *fileParser) checkTableHeader(line int, key []string) {
	field, ok := fieldByKey(p.root, key)
	if !ok || (field.Kind() != reflect.Struct && field.Kind() != reflect.Map) {
		p.addFinding(line, strings.Join(key, "."), "is not a known table; allowed: %s", strings.Join(tableNames(p.keys), ", "))
		return
	}
	p.keyLines[strings.Join(key, ".")] = line
}

// setValue sets the value of a dotted key in its struct field or map, or reports
// why it can't.
func (p *fileParser) setValue(line int, key []string, value *unstable.Node) {
	name := strings.Join(key, ".")
	if p.hasFinding[strings.Join(key[:len(key)-1], ".")] {
		return // The table has a finding, which covers its keys.
	}
	if value.Kind == unstable.InlineTable {
		p.setInlineTable(line, key, value)
		return
	}
	p.keyLines[name] = line
	root := p.root
	if field, ok := fieldByKey(root, key); ok {
		if err := setField(field, value); err != nil {
			p.addFinding(line, name, "%s", err)
		}
		return
	}
	parent, ok := fieldByKey(root, key[:len(key)-1])
	if !ok || parent.Kind() != reflect.Map {
		p.addFinding(line, name, "is not a known key; %s", suggestKeys(p.keys, name))
		return
	}
	if value.Kind != unstable.String {
		p.addFinding(line, name, "is %s; allowed: a string", describeKind(value))
		return
	}
	if parent.IsNil() {
		parent.Set(reflect.MakeMap(parent.Type()))
	}
	parent.SetMapIndex(reflect.ValueOf(key[len(key)-1]), reflect.ValueOf(string(value.Data)))
}

// setInlineTable sets each key of an inline table such as { a = 1, b = 2 } as if it
// were on a line of its own.
func (p *fileParser) setInlineTable(line int, key []string, value *unstable.Node) {
	p.checkTableHeader(line, key)
	children := value.Children()
	for children.Next() {
		child := children.Node()
		p.setValue(line, append(key[:len(key):len(key)], keyParts(child)...), child.Value())
	}
}

// fieldByKey returns the struct field for a dotted key, found by the toml tags. It
// is false if there is none.
func fieldByKey(v reflect.Value, key []string) (reflect.Value, bool) {
	for _, part := range key {
		if v.Kind() != reflect.Struct {
			return reflect.Value{}, false
		}
		found := false
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("toml") == part {
				v, found = v.Field(i), true
				break
			}
		}
		if !found {
			return reflect.Value{}, false
		}
	}
	return v, true
}

var durationType = reflect.TypeFor[Duration]()

// setField decodes a value into a field. The error is the text of a finding: what
// is wrong and what is allowed.
func setField(field reflect.Value, value *unstable.Node) error {
	if field.Type() == durationType {
		return setDuration(field, value)
	}
	switch field.Kind() {
	case reflect.String:
		if value.Kind != unstable.String {
			return fmt.Errorf("is %s; allowed: a string", describeKind(value))
		}
		field.SetString(string(value.Data))
	case reflect.Bool:
		if value.Kind != unstable.Bool {
			return fmt.Errorf("is %s; allowed: true or false", describeKind(value))
		}
		field.SetBool(string(value.Data) == "true")
	case reflect.Int, reflect.Int64:
		return setInteger(field, value)
	case reflect.Float64:
		return setFloat(field, value)
	case reflect.Slice:
		return setStrings(field, value)
	default:
		return fmt.Errorf("is %s; allowed: a table", describeKind(value))
	}
	return nil
}

func setDuration(field reflect.Value, value *unstable.Node) error {
	if value.Kind != unstable.String {
		return fmt.Errorf(`is %s; allowed: a duration in quotes like "1.5s"`, describeKind(value))
	}
	d, err := time.ParseDuration(string(value.Data))
	if err != nil {
		return fmt.Errorf(`is %q; allowed: a duration like "1.5s"`, value.Data)
	}
	field.SetInt(int64(d))
	return nil
}

// setInteger decodes an integer, or rounds a fraction down: a platform that scales
// limits to the size of the fleet renders fractions, and rounding up would exceed
// the limit.
func setInteger(field reflect.Value, value *unstable.Node) error {
	if value.Kind == unstable.Float {
		return setFloored(field, value)
	}
	if value.Kind != unstable.Integer {
		return fmt.Errorf("is %s; allowed: an integer", describeKind(value))
	}
	n, err := strconv.ParseInt(string(value.Data), 0, 64)
	if err != nil {
		return fmt.Errorf("is %s; allowed: an integer of 64 bits", value.Data)
	}
	field.SetInt(n)
	return nil
}

// setFloored decodes a float into an integer field, rounded down.
func setFloored(field reflect.Value, value *unstable.Node) error {
	f, err := parseFloat(value)
	if err != nil {
		return err
	}
	if math.IsNaN(f) || math.Abs(f) >= math.MaxInt64 {
		return fmt.Errorf("is %s; allowed: an integer of 64 bits", value.Data)
	}
	field.SetInt(int64(math.Floor(f)))
	return nil
}

func setFloat(field reflect.Value, value *unstable.Node) error {
	if value.Kind != unstable.Float && value.Kind != unstable.Integer {
		return fmt.Errorf("is %s; allowed: a number", describeKind(value))
	}
	f, err := parseFloat(value)
	if err != nil {
		return err
	}
	field.SetFloat(f)
	return nil
}

// parseFloat parses a TOML number, whose digits may be separated by underscores.
func parseFloat(value *unstable.Node) (float64, error) {
	f, err := strconv.ParseFloat(strings.ReplaceAll(string(value.Data), "_", ""), 64)
	if err != nil {
		return 0, fmt.Errorf("is %s; allowed: a number", value.Data)
	}
	return f, nil
}

func setStrings(field reflect.Value, value *unstable.Node) error {
	if value.Kind != unstable.Array {
		return fmt.Errorf("is %s; allowed: a list of strings", describeKind(value))
	}
	items := []string{}
	children := value.Children()
	for children.Next() {
		if children.Node().Kind != unstable.String {
			return fmt.Errorf("holds %s; allowed: a list of strings", describeKind(children.Node()))
		}
		items = append(items, string(children.Node().Data))
	}
	field.Set(reflect.ValueOf(items))
	return nil
}

// describeKind returns the TOML type of a value with its indefinite article.
func describeKind(value *unstable.Node) string {
	name := strings.ToLower(value.Kind.String())
	if strings.ContainsRune("aeiou", rune(name[0])) {
		return "an " + name
	}
	return "a " + name
}
