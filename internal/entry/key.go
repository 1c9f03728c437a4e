package entry

import (
	"net/http"
	"net/url"
	"strings"
)

// bearerScheme is the scheme of the Authorization header, in lower case and with the space before the key.
const bearerScheme = "bearer "

// extractKey returns the caller's key and removes the Authorization header. A repeated header or one of another
// scheme counts as no key.
func extractKey(header http.Header) string {
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

// removeKeyHeaders removes every header field whose value contains the key.
func removeKeyHeaders(header http.Header, key string) {
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
