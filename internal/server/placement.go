package server

import (
	"github.com/cespare/xxhash/v2"

	"guavapier/internal/decide"
	"guavapier/internal/record"
	"guavapier/internal/settings"
)

// placementOptions returns the options of this instance's Decider. The seed is
// derived from the instance ID, so it differs between instances and changes with
// each restart.
func placementOptions(s settings.Settings, id record.InstanceID) decide.Options {
	return decide.Options{Seed: xxhash.Sum64String(string(id)), Zone: record.Zone(s.Instance.Zone)}
}
