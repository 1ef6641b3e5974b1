# The main targets need only Go and make:
#   make demo    runs a small system on loopback (KEEP=1 leaves it running)
#   make check   runs all checks of the CI

.PHONY: build demo check generate bench

build:
	go build -o bin/ ./cmd/... ./tools/...

demo: build
	bin/demo $(if $(KEEP),--keep)

check:
	./.ci/check

generate:
	schema/generate.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...
