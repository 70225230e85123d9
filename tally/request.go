package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/cockroachdb/errors"

	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

// request contains the flags of every command that sends a change.
type request struct {
	connection
	id       string
	operator string
}

// requestFlags is the part of the usage text for the flags of request.
const requestFlags = `  -request ID        id of the request; give the printed one again to resend after a lost answer
  -operator NAME     who makes the change; default the name in the settings,
                     without settings the name of the user
`

func (r *request) setFlags(f *flag.FlagSet) {
	r.connection.setFlags(f)
	f.StringVar(&r.id, "request", "", "")
	f.StringVar(&r.operator, "operator", r.env.userName(), "")
}

// announce generates the request's id, unless -request gives one, and prints it before the request is sent, so that the
// operator can repeat the request when its answer is lost.
func (r *request) announce(detail string) error {
	if r.operatorName != "" {
		r.operator = r.operatorName // the token is valid for this name only
	}
	for _, field := range []struct{ flag, text string }{{"-operator", r.operator}, {"-request", r.id}} {
		if len(field.text) > specifier.MaxName {
			return fail(exitUsage, "", "%s has %d bytes, expected at most %d", field.flag, len(field.text), specifier.MaxName)
		}
	}
	if r.operator == "" {
		return fail(exitUsage, "give -operator NAME", "no operator's name")
	}
	if r.id == "" {
		r.id = r.env.newID()
	}
	fmt.Fprintf(r.env.stderr, "request %s%s\n", r.id, detail)
	return nil
}

// send proposes command and returns the decision. When the answer is lost, the error tells the operator how to repeat the
// same request.
func (r *request) send(ctx context.Context, client *operator.Client, command specifier.Command) (specifier.Decision, error) {
	decision, err := client.Change(ctx, r.id, r.operator, command)
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return decision, fail(exitUnreachable, "the change may be applied; give the same command again with -request "+r.id+
			", which applies it at most once", "%v", err)
	}
	return decision, explain(err)
}
