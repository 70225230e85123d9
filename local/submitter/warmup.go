package submitter

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"oleandertally/replay/tracer"
)

// WarmUp submits copies of a job, which should have a task for each slot of the site, until every worker has run a task of
// every entry. Before that, an entry may rightly refuse jobs because it has no worker. It returns the keys that it used.
func (s *Submitter) WarmUp(ctx context.Context, job tracer.Job, workers int) ([]string, error) {
	var keys []string
	for entry := range s.Entries {
		job.Entry = entry
		seen := make(map[string]bool)
		for attempt := 0; len(seen) < workers; attempt++ {
			if ctx.Err() != nil {
				return keys, context.Cause(ctx)
			}
			key := fmt.Sprintf("warm-up-%d-%d", entry, attempt)
			keys = append(keys, key)
			for _, task := range s.Submit(ctx, job, key).Response.Results {
				var ran struct{ Worker string }
				if err := json.Unmarshal(task.Result, &ran); err != nil {
					return keys, errors.Wrap(err, "submitter: decode the upstream's result")
				}
				seen[ran.Worker] = true
			}
		}
	}
	return keys, nil
}
