package gateway

import "guavapier/internal/linkload"

// zoneLinks returns what is known of the links of this instance's zone: where instances don't
// tell each other their loads, only that there are others.
func (g *Gateway) zoneLinks() linkload.ZoneLinks {
	if links := g.loadExchange.zoneLinks(); links.Known {
		return links
	}
	return linkload.ZoneLinks{Instances: g.budgets.Accounts.Instances()}
}

// linkView is what a state dump shows of the instance's link.
type linkView struct {
	Load     float64            `json:"load"` // Utilisation of the busier direction.
	Shedding bool               `json:"shedding"`
	Zone     linkload.ZoneLinks `json:"zone"`
}

// linkView reads the row of the state dump's link table.
func (g *Gateway) linkView() linkView {
	return linkView{Load: g.linkShedder.Load(), Shedding: g.linkShedder.IsShedding(), Zone: g.zoneLinks()}
}
