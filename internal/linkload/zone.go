package linkload

// zoneRoomThreshold is the mean utilisation of a zone's links below which other instances can
// take on callers of a full one: bursts then still fit.
const zoneRoomThreshold = 0.5

// ZoneLinks summarises the links of an availability zone's instances.
type ZoneLinks struct {
	Mean      float64 `cbor:"1,keyasint" json:"mean"`      // Mean utilisation; 1 is full.
	Instances int     `cbor:"2,keyasint" json:"instances"` // Instances of the zone, this one included.
	Shedding  int     `cbor:"3,keyasint" json:"shedding"`  // Those that send callers to others.
	Known     bool    `cbor:"4,keyasint" json:"known"`     // Mean and Shedding are known.
}

// HasRoom reports whether other instances can take on callers of this one. If that is not
// known, they are expected to, since the load balancer spreads callers unevenly. While half
// of the instances shed, the load balancer uses all.
func (z ZoneLinks) HasRoom() bool {
	if z.Instances <= 1 {
		return false
	}
	return !z.Known || z.Mean < zoneRoomThreshold && 2*(z.Shedding+1) < z.Instances
}
