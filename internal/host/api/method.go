package api

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// addMethodNotAllowed adds handlers that answer 405 with the allowed methods if a path
// is known but the method is not. It must be called after all routes are added. The
// router alone would answer 404 if a later route of the same subrouter was tried.
func addMethodNotAllowed(r *mux.Router) {
	allowed := map[string][]string{}
	_ = r.Walk(func(route *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		path, err := route.GetPathTemplate()
		methods, none := route.GetMethods()
		if err == nil && none == nil {
			allowed[path] = append(allowed[path], methods...)
		}
		return nil
	})
	for path, methods := range allowed {
		r.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Allow", strings.Join(methods, ", "))
			detail := fmt.Sprintf("%s allows %s, not %s", path, strings.Join(methods, " and "), r.Method)
			Problem{Status: http.StatusMethodNotAllowed, Detail: detail}.write(w, time.Now())
		})
	}
}
