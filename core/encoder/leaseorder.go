package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

// EncodeLeaseOrder returns the message of one order.
func EncodeLeaseOrder(order specifier.LeaseOrder) *QueueOrder {
	m := &QueueOrder{Token: order.Token, Granted: order.GrantedRenewal, Orders: order.OrderCount, Noted: order.AcknowledgedEnd, RenewAfter: int64(order.RenewAfter),
		Evacuated: order.Evacuated, EvacuationVersion: order.EvacuationVersion}
	if !order.AcknowledgedWorkerStart.IsZero() {
		m.NotedBorn = order.AcknowledgedWorkerStart.UnixNano()
	}
	for _, start := range order.Starts {
		m.Starts = append(m.Starts, &QueueStart{Task: start.Key.Task, Run: start.Key.Run, Content: start.Content, Saved: start.Checkpoint, Room: EncodeResources(start.Resources)})
	}
	for _, stop := range order.Stops {
		m.Stops = append(m.Stops, &QueueStop{Task: stop.Task, Run: stop.Run})
	}
	return m
}

// DecodeLeaseOrder returns the order.
func DecodeLeaseOrder(m *QueueOrder) specifier.LeaseOrder {
	order := specifier.LeaseOrder{Token: m.Token, GrantedRenewal: m.Granted, OrderCount: m.Orders, AcknowledgedEnd: m.Noted,
		RenewAfter: min(max(time.Duration(m.RenewAfter), 0), specifier.MaxAdvance),
		Evacuated:  m.Evacuated, EvacuationVersion: m.EvacuationVersion}
	if m.NotedBorn != 0 {
		order.AcknowledgedWorkerStart = time.Unix(0, m.NotedBorn)
	}
	for _, start := range m.Starts {
		order.Starts = append(order.Starts, specifier.RunStart{Key: specifier.RunKey{Task: start.Task, Run: start.Run}, Content: start.Content,
			Checkpoint: start.Saved, Resources: DecodeResources(start.Room)})
	}
	for _, stop := range m.Stops {
		order.Stops = append(order.Stops, specifier.RunKey{Task: stop.Task, Run: stop.Run})
	}
	return order
}
