package config

import (
	"errors"
	"testing"
)

func TestMalformedRepeatRulesAllowNothing(t *testing.T) {
	for _, text := range []string{"GET", "get /x", "GET x", "GET /a b", "GET /ok, POST"} {
		if rules, err := ParseRepeatRules(text); !errors.Is(err, ErrMalformedRepeatRule) || rules != nil {
			t.Errorf("%q: rules %v, error %v; want none and ErrMalformedRepeatRule", text, rules, err)
		}
	}
}
