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

// wish is a value that an operator wants at a path, or a path without one.
type wish struct {
	path, value string
	remove      bool
}

// against compares a wish with what stands. It returns the operation on the
// version that was seen, and the difference for people.
func (w wish) against(rows []valueRow) (op record.ChangeOp, text string, differs bool) {
	var now valueRow
	for _, row := range rows {
		if row.Path == w.path {
			now = row
		}
	}
	op = record.ChangeOp{Path: w.path, Base: now.Version, Value: w.value, Delete: w.remove}
	if now.Version > 0 {
		text = fmt.Sprintf("- %s = %q\n", w.path, now.Value)
	}
	if w.remove {
		return op, text, now.Version > 0
	}
	text += fmt.Sprintf("+ %s = %q\n", w.path, w.value)
	return op, text, now.Version == 0 || now.Value != w.value
}

// readWishes reads a TOML file whose tables are named as the paths: the key
// lean in [teams.dala.budgets.main] is /teams/dala/budgets/main/lean.
func readWishes(file string) ([]wish, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the settings")
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	wishes, err := flatten("", tree)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	slices.SortFunc(wishes, func(a, b wish) int { return cmp.Compare(a.path, b.path) })
	return wishes, nil
}

func flatten(path string, tree map[string]any) ([]wish, error) {
	var out []wish
	for key, v := range tree {
		below := path + "/" + key
		switch v := v.(type) {
		case map[string]any:
			wishes, err := flatten(below, v)
			if err != nil {
				return nil, err
			}
			out = append(out, wishes...)
		case string, bool, int64, float64:
			out = append(out, wish{path: below, value: fmt.Sprint(v)})
		case interface{ String() string }:
			out = append(out, wish{path: below, value: v.String()})
		default:
			return nil, fmt.Errorf("%s: is a list; allowed: one value", below)
		}
	}
	return out, nil
}
