package admin

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 2 << 20

// PathPrefix is the prefix of the API's paths.
const PathPrefix = rpc.AdminPathPrefix

// operatorKey is the context key of the authenticated operator.
type operatorKey struct{}

// NewHandler returns the API as an HTTP handler that authenticates operators.
func NewHandler(service *Service, operators Operators) http.Handler {
	server := rpc.NewAdminServer(service)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := authenticate(r, operators)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "no operator has this token"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

// authenticate returns the operator identified by the bearer token of the request.
func authenticate(r *http.Request, operators Operators) (Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return Operator{}, false
	}
	return operators.ByTokenHash(sha256.Sum256([]byte(token)))
}

// operatorOf returns the authenticated operator of a request context.
func operatorOf(ctx context.Context) (Operator, error) {
	operator, ok := ctx.Value(operatorKey{}).(Operator)
	if !ok {
		return Operator{}, twirp.NewError(twirp.Unauthenticated, "no operator")
	}
	return operator, nil
}
