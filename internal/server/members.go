package server

import (
	"context"
	"time"

	"guavapier/internal/decide"
	"guavapier/internal/platform"
)

const (
	engineSlots  = 16
	serviceSlots = 16
)

// run announces this instance and reads the list until ctx ends.
func (m *members) run(ctx context.Context, self func() platform.Instance) {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		m.refresh(ctx, self())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// refresh keeps the last list that was read while the platform is away.
func (m *members) refresh(ctx context.Context, self platform.Instance) {
	_ = m.directory.Announce(ctx, self)
	list, err := m.directory.List(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	m.last, m.seen = list, true
	m.mu.Unlock()
	endpoints := make([]decide.Endpoint, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		endpoints = append(endpoints, endpointRow(e))
	}
	m.dispatcher.Update(func(d *decide.Decider) { d.SetEndpoints(endpoints) })
}

func endpointRow(e platform.Endpoint) decide.Endpoint {
	row := decide.Endpoint{Name: e.Name, Zone: e.Zone, Service: e.Service, Slots: engineSlots, Weight: 1, Leaving: e.Leaving}
	if e.Service != "" {
		row.Slots = serviceSlots
	}
	if e.Model != "" {
		row.Models = []string{e.Model}
	}
	return row
}

func (m *members) list() platform.List {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last
}

func (m *members) ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen
}

// URL implements run.Endpoints.
func (m *members) URL(name string) (string, bool) {
	for _, e := range m.list().Endpoints {
		if e.Name == name {
			return e.URL, true
		}
	}
	return "", false
}
