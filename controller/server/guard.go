package server

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/core/authenticator"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
	"oleandertally/state/transporter"
)

// guard lists the roles that may call each method of a controller.
var guard = authenticator.Guard{
	encoder.Registry_Propose_FullMethodName:      {specifier.Entry},
	encoder.Registry_Attend_FullMethodName:       {specifier.Entry, specifier.Agent},
	encoder.QueueKeeper_Call_FullMethodName:      {specifier.Entry, specifier.Controller},
	encoder.QueueKeeper_Attend_FullMethodName:    {specifier.Agent},
	encoder.Timeline_Gather_FullMethodName:       {authenticator.Operator},
	encoder.Operator_Read_FullMethodName:         {authenticator.Operator},
	encoder.Operator_Change_FullMethodName:       {authenticator.Operator},
	encoder.Operator_EvacuateZone_FullMethodName: {authenticator.Operator},
	transporter.Replica_Exchange_FullMethodName:  {specifier.Controller},
	transporter.Replica_Install_FullMethodName:   {specifier.Controller},
	transporter.Replica_Join_FullMethodName:      {specifier.Controller},
}

// checkPeer rejects a message whose sender is not the process that the connection's certificate names.
func checkPeer(ctx context.Context, security *authenticator.Authenticator, role specifier.Role, name string) error {
	if err := security.CheckPeer(ctx, authenticator.Peer{Role: role, Name: name}); err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return nil
}
