package authenticator

import (
	"net/http"
	"strings"
)

// CheckTeam returns ErrUnauthorized unless the request carries a token of team as
// "Authorization: Bearer TOKEN". It does not read the body.
func (a *Authenticator) CheckTeam(request *http.Request, team string) error {
	if a.insecure {
		return nil
	}
	return a.teams.Check(team, bearerToken(request))
}

// CheckAnyTeam returns ErrUnauthorized unless the request carries a token of any team. With it an entry
// rejects an unknown caller before it reads the body, which names the team.
func (a *Authenticator) CheckAnyTeam(request *http.Request) error {
	if a.insecure {
		return nil
	}
	return a.teams.checkAny(bearerToken(request))
}

func bearerToken(request *http.Request) string {
	scheme, token, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
