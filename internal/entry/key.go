package entry

import (
	"net/http"
	"net/url"
	"strings"
)

// bearerScheme precedes the key in Authorization.
const bearerScheme = "bearer "

// takeKey returns the caller's key and removes the header. An ambiguous header counts as no key.
func takeKey(header http.Header) string {
	values := header["Authorization"]
	delete(header, "Authorization")
	if len(values) != 1 || len(values[0]) <= len(bearerScheme) {
		return ""
	}
	if !strings.EqualFold(values[0][:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.TrimSpace(values[0][len(bearerScheme):])
}

// dropKey removes every header that contains the key, whatever its name.
func dropKey(header http.Header, key string) {
	for name, values := range header {
		for _, value := range values {
			if containsKey(value, key) {
				delete(header, name)
				break
			}
		}
	}
}

// containsKey reports whether s contains the key, plain or percent-encoded.
func containsKey(s, key string) bool {
	if strings.Contains(s, key) {
		return true
	}
	if !strings.Contains(s, "%") {
		return false
	}
	plain, err := url.QueryUnescape(s)
	return err == nil && strings.Contains(plain, key)
}
