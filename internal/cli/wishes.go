package cli

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// desiredValue is a value that a path is to have, or with isDelete a path that is to
// have none.
type desiredValue struct {
	path, value string
	isDelete    bool
}

// diff compares the desired with the path's current value, if rows have it. It returns
// the operation based on the current version, the difference as lines with - and +,
// and whether the value changes.
func (d desiredValue) diff(rows []valueRow) (op record.ChangeOp, diff string, changed bool) {
	var current valueRow
	for _, row := range rows {
		if row.Path == d.path {
			current = row
		}
	}
	op = record.ChangeOp{Path: d.path, Base: current.Version, Value: d.value, Delete: d.isDelete}
	if current.Version > 0 {
		diff = fmt.Sprintf("- %s = %q\n", d.path, current.Value)
	}
	if d.isDelete {
		return op, diff, current.Version > 0
	}
	diff += fmt.Sprintf("+ %s = %q\n", d.path, d.value)
	return op, diff, current.Version == 0 || current.Value != d.value
}

// readDesiredValues reads a TOML file whose tables are named after paths: the key
// lean in [teams.dala.budgets.main] is /teams/dala/budgets/main/lean. It returns the
// values sorted by path.
func readDesiredValues(file string) ([]desiredValue, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the settings file")
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	values, err := flatten("", tree)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	slices.SortFunc(values, func(a, b desiredValue) int { return cmp.Compare(a.path, b.path) })
	return values, nil
}

// flatten returns the values of a TOML table and of the tables in it, with path in
// front of their keys. Lists are an error.
func flatten(path string, tree map[string]any) ([]desiredValue, error) {
	var out []desiredValue
	for key, v := range tree {
		childPath := path + "/" + key
		switch v := v.(type) {
		case map[string]any:
			values, err := flatten(childPath, v)
			if err != nil {
				return nil, err
			}
			out = append(out, values...)
		case string, bool, int64, float64:
			out = append(out, desiredValue{path: childPath, value: fmt.Sprint(v)})
		case interface{ String() string }:
			out = append(out, desiredValue{path: childPath, value: v.String()})
		default:
			return nil, fmt.Errorf("%s: is a list; allowed: one value", childPath)
		}
	}
	return out, nil
}
