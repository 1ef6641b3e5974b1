// Package caller serves callers: look-ups, and requests to services.
//
// # Endpoints
//
//	GET /auburnlatch/lookup             the VMs to use, best first, and for how long
//	GET /auburnlatch/ready              200 if this VM takes requests
//	ANY /{service}/{path}               a request to a service
//
// A request may have the header field Auburnlatch-Timeout-Ms, how long its caller
// waits, and Auburnlatch-Place, the caller's place if it does not follow from the
// address. A request that is not idempotent needs an Idempotency-Key, and
// Auburnlatch-Caller or Authorization to identify the owner of the key. A refusal
// has a status, Auburnlatch-Verdict, Auburnlatch-Reason, and Retry-After if a
// retry makes sense. Its verdict concerns this attempt only.
//
// # Usage
//
//	s := caller.New(cfg, router, claims, directory, log)
//	go http.Serve(l, s.Handler())
package caller
