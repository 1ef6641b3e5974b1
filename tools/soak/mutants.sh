#!/usr/bin/env bash
# Mutation tests of the soak: each mutant is a copy of the sources with one safeguard
# removed, with which at least one seed must break a guarantee. Run it by hand; it takes
# some minutes.
set -eu
cd "$(dirname "$0")/../.."
soak=$PWD/bin/soak
go build -o bin/ ./tools/soak
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# mutant NAME FILE SED [FLAG...] builds the daemon with one line of FILE changed by the sed
# command SED and runs four seeds with it.
mutant() {
	local dir=$work/$1
	mkdir "$dir"
	git ls-files -z -- '*.go' go.mod go.sum | xargs -0 cp --parents -t "$dir"
	sed -i "$3" "$dir/$2"
	if cmp -s "$2" "$dir/$2"; then
		echo "$1: the line to change is not there" >&2
		exit 1
	fi
	(cd "$dir" && go build -o "$dir/daemon" ./cmd/auburnlatch-entry)
	if "$soak" run --daemon "$dir/daemon" --seed 1 --seeds 4 "${@:4}" >"$dir/out"; then
		echo "$1: NOT FOUND in 4 seeds" >&2
		exit 1
	fi
	echo "$1: found: $(grep -m1 '^  ' "$dir/out")"
}

mutant RetryAfterMaybeRan io/entry/proxy.go 's/if e != nil \&\& e.Verdict != verdict.NotRun \&\& !req.idempotent() {/if false {/'
mutant DrainIgnored core/target/target.go 's/Usable: !draining \&\& !ev.Zones\[reg.Zone\]/Usable: true/'
mutant RefusalUntrue io/entry/serve.go 's/case e.Verdict == verdict.NotRun:/case e.Verdict == verdict.NotRun || e.Reason == verdict.ReasonBroken:/'
mutant NotFoundBeforeRules io/entry/serve.go 's/return req, verdict.New(verdict.NotRun, verdict.ReasonNotReady, notReadyRetryAfter)/return req, verdict.New(verdict.NotRun, verdict.ReasonNoService, 0)/'
mutant ConfigIgnored io/entry/copies.go 's/if old != nil \&\& cfg.Version <= old.Config.Version {/if old != nil {/'
mutant PoisonIgnored io/quarantine/doc.go 's/if !g.ledger.Knows(req.Head()) {/if true {/'
mutant ClosedUnread io/entry/conn.go 's/return c.closer.Close(c.Conn, c.readErr, now, c.closeBy(now))/return c.Conn.Close()/; s/^	now := time.Now()$//' --shapes --for 8s
mutant SecondReader io/forward/body.go 's/case !b.complete:/case false:/' --shapes --for 8s
mutant FinalChunk io/upstream/call.go '/^func (c \*Call) writeChunks/,$s/if err == io.EOF {/if err != nil {/' --shapes --for 8s
mutant ColdUnasked io/entry/warmth.go 's/if lease.Cold || table == nil/if true || table == nil/' --colds --for 8s
mutant ColdResponseIgnored io/entry/warmth.go 's/if cold == 0 {/if true {/' --colds --for 8s
echo 'all mutants found'
