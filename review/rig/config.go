package main

import (
	"fmt"
	"time"
)

// config returns a version of the operator's configuration: an idempotent and a non-idempotent
// route to service s.
func config(version int, timeout time.Duration) string {
	route := func(prefix, kind string) string {
		return fmt.Sprintf(`%q:{"Hostname":%q,"Prefix":%q,"Kind":%q,"Timeout":"%dms","Slo":"300ms","Priority":1,"Service":"s","Attempts":2,"Sticky":false,"HomeRegions":[]}`,
			"r-"+kind, hostName, prefix, kind, timeout.Milliseconds())
	}
	return fmt.Sprintf(`{"Version":"%08x","Routes":{%s,%s},"Services":{"s":{"HealthPath":%q,"MaxConns":360,"ColdStart":"3s","ColdPerS":14.0}},`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}`,
		version, route("/get/", "idempotent"), route("/post/", "non_idempotent"), healthPath)
}
