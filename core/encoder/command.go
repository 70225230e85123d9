package encoder

import (
	"fmt"

	"oleandertally/core/specifier"
)

// EncodeCommand shares byte slices with command, which must not change afterwards.
func EncodeCommand(command specifier.Command) *Command {
	switch command := command.(type) {
	case specifier.AcceptJob:
		return &Command{Kind: &Command_AcceptJob{AcceptJob: encodeAcceptJob(command)}}
	case specifier.TakeOverJob:
		return &Command{Kind: &Command_TakeOverJob{TakeOverJob: encodeTakeOverJob(command)}}
	case specifier.FinishJob:
		return &Command{Kind: &Command_FinishJob{FinishJob: encodeFinishJob(command)}}
	case specifier.ReleaseJob:
		return &Command{Kind: &Command_ReleaseJob{ReleaseJob: encodeReleaseJob(command)}}
	case specifier.CancelJob:
		return &Command{Kind: &Command_CancelJob{CancelJob: &CancelJob{Job: command.Job[:]}}}
	case specifier.LookupJob:
		return &Command{Kind: &Command_LookupJob{LookupJob: encodeLookupJob(command)}}
	case specifier.JoinMember:
		return &Command{Kind: &Command_JoinMember{JoinMember: &JoinMember{Member: EncodeMember(command.Member)}}}
	case specifier.EndMember:
		return &Command{Kind: &Command_EndMember{EndMember: &EndMember{Identity: EncodeIdentity(command.Identity)}}}
	case specifier.DrainMember:
		return &Command{Kind: &Command_DrainMember{DrainMember: &DrainMember{Name: command.Name, Draining: command.Draining}}}
	case specifier.ChangeConfiguration:
		return &Command{Kind: &Command_ChangeConfiguration{ChangeConfiguration: encodeChangeConfiguration(command)}}
	}
	panic(fmt.Sprintf("encoder: no message for %T", command))
}

// DecodeCommand returns every problem of the message's fields together.
func DecodeCommand(m *Command) (specifier.Command, error) {
	c := &checker{}
	command := c.command("Command", m)
	if err := c.err(); err != nil {
		return nil, err
	}
	return command, nil
}

func (c *checker) command(path string, m *Command) specifier.Command {
	switch kind := m.GetKind().(type) {
	case *Command_AcceptJob:
		return c.acceptJob(kind.AcceptJob)
	case *Command_TakeOverJob:
		return c.takeOverJob(kind.TakeOverJob)
	case *Command_FinishJob:
		return c.finishJob(kind.FinishJob)
	case *Command_ReleaseJob:
		return c.releaseJob(kind.ReleaseJob)
	case *Command_CancelJob:
		return specifier.CancelJob{Job: c.job("CancelJob.Job", kind.CancelJob.GetJob())}
	case *Command_LookupJob:
		return c.lookupJob(kind.LookupJob)
	case *Command_JoinMember:
		return specifier.JoinMember{Member: c.member("JoinMember.Member", kind.JoinMember.GetMember())}
	case *Command_EndMember:
		return specifier.EndMember{Identity: c.identity("EndMember.Identity", kind.EndMember.GetIdentity())}
	case *Command_DrainMember:
		return specifier.DrainMember{Name: c.name("DrainMember.Name", kind.DrainMember.GetName()),
			Draining: kind.DrainMember.GetDraining()}
	case *Command_ChangeConfiguration:
		return c.changeConfiguration(kind.ChangeConfiguration)
	}
	c.problems.Add(path+".Kind", "is missing or unknown")
	return nil
}
