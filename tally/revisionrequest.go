package main

import (
	"context"
	"flag"
	"fmt"

	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

// revisionRequest contains the flags of the commands that create a revision of the configuration.
type revisionRequest struct {
	request
	from uint64
}

// revisionFlags is the part of the usage text for the flags of revisionRequest.
const revisionFlags = `  -from N            revision that the change was made from; default the one in force
`

func (r *revisionRequest) setFlags(f *flag.FlagSet) {
	r.request.setFlags(f)
	f.Uint64Var(&r.from, "from", 0, "")
}

// submit sends the change of file and prints the decision. The change is made from revision r.from, or from revision
// current when r.from is not set.
func (r *revisionRequest) submit(ctx context.Context, client *operator.Client, file changeFile, current specifier.Revision) error {
	from := current
	if r.from > 0 {
		from = specifier.Revision(r.from)
	}
	if err := r.announce(fmt.Sprintf(" from revision %d", from)); err != nil {
		return err
	}
	decision, err := r.send(ctx, client, specifier.ChangeConfiguration{RequestID: r.id, Operator: r.operator, From: from,
		Profiles: file.Profiles, Teams: file.Teams, RemoveProfiles: file.RemoveProfiles, RemoveTeams: file.RemoveTeams})
	if err != nil {
		return err
	}
	if r.json {
		if err := writeJSON(r.env.stdout, newChange(r.id, "", from, decision)); err != nil {
			return err
		}
	}
	return r.reportDecision(decision, from)
}

// reportDecision prints that the change was applied, or returns why it was not.
func (r *revisionRequest) reportDecision(decision specifier.Decision, from specifier.Revision) error {
	switch decision.Verdict {
	case specifier.Applied:
		if !r.json {
			fmt.Fprintf(r.env.stdout, "applied: revision %d is in force\n", decision.Revision)
		}
		return nil
	case specifier.Conflict:
		return fail(exitConflict, "look at what changed with: tally profiles compare FILE, then give the command again without -from and -request",
			"another change came first: revision %d by %s is in force, this one was made from revision %d", decision.Revision,
			orDash(decision.Operator), from)
	case specifier.Rejected:
		return fail(exitRejected, "correct the file, then give the command again", "the change breaks a rule: %s", decision.Detail)
	}
	return fail(exitFailed, "", "unexpected verdict %s: %s", decision.Verdict, decision.Detail)
}
