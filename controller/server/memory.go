package server

import (
	"context"

	"oleandertally/controller/driver"
	"oleandertally/core/mailer"
	"oleandertally/state/replicator"
)

// memory reports every write as synced without storing it.
type memory struct {
	box     *mailer.Outbox[replicator.Write]
	mailbox *mailer.Mailbox[driver.Event]
}

func (m *memory) run(ctx context.Context) error {
	for {
		writes, err := m.box.Take(ctx)
		if err != nil {
			return err
		}
		if err := m.mailbox.Send(ctx, driver.Event{Log: replicator.Synced{Write: writes[len(writes)-1]}}); err != nil {
			return err
		}
	}
}
