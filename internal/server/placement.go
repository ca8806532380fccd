package server

import (
	"github.com/cespare/xxhash/v2"

	"guavapier/internal/decide"
	"guavapier/internal/record"
	"guavapier/internal/settings"
)

// placementOptions returns the options of this instance's decisions. The seed differs
// between instances and between starts, as the identity does.
func placementOptions(s settings.Settings, id record.InstanceID) decide.Options {
	return decide.Options{Seed: xxhash.Sum64String(string(id)), Zone: record.Zone(s.Instance.Zone)}
}
