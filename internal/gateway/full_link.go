package gateway

import (
	"math/rand/v2"

	"guavapier/internal/linkadmission"
	"guavapier/internal/linkload"
)

// admitsConnection decides whether a caller's connection is taken or closed unread for the load
// of the link.
func (g *Gateway) admitsConnection() bool {
	return g.linkAdmission.AdmitConnection(g.zoneLinks(), g.linkMeter.Total(), rand.Float64(), g.clock())
}

// zoneLinks returns what is known of the links of this instance's zone: that there are other
// instances, and not how full they are.
func (g *Gateway) zoneLinks() linkload.ZoneLinks {
	return linkload.ZoneLinks{Instances: g.budgets.Accounts.Instances()}
}

// linkView is what a state dump shows of the instance's link.
type linkView struct {
	Load        float64              `json:"load"` // Utilisation of the busier direction.
	Shedding    bool                 `json:"shedding"`
	Connections linkadmission.Counts `json:"connections"`
	Zone        linkload.ZoneLinks   `json:"zone"`
}

// linkView reads the row of the state dump's link table.
func (g *Gateway) linkView() linkView {
	return linkView{Load: g.linkShedder.Load(), Shedding: g.linkShedder.IsShedding(), Connections: g.linkAdmission.Counts(), Zone: g.zoneLinks()}
}

// logTurnedAway logs how many more connections than logged were closed unread, and returns the
// new total.
func (g *Gateway) logTurnedAway(logged int64) int64 {
	total := g.linkAdmission.Counts().TurnedAway
	if total > logged {
		g.log.Warn().Int64("connections", total-logged).Float64("load", g.linkShedder.Load()).Msg("gateway: callers turned away for the load of the link")
	}
	return total
}
