GO    ?= go
TOOL  := $(GO) tool -modfile=tools/go.mod
BIN   := bin
.PHONY: all build generate fmt lint test demo fuzz soak measure slopes bench

all: build

# build compiles the daemon, the stand-ins and the demonstration's client.
build:
	@mkdir -p out
	$(GO) build -o $(BIN)/ ./cmd/...

generate:
	$(GO) generate ./...

fmt:
	$(TOOL) gofumpt -w $$(git ls-files '*.go' | grep -v _gen.go)

# lint fails on files that the formatter would change and on any finding.
lint:
	@test -z "$$($(TOOL) gofumpt -l $$(git ls-files '*.go' | grep -v _gen.go))" || \
	  { echo "these files need make fmt:"; $(TOOL) gofumpt -l $$(git ls-files '*.go' | grep -v _gen.go); exit 1; }
	$(GO) vet ./...
	$(TOOL) staticcheck ./...
	$(TOOL) revive -config revive.toml ./...

# test runs every test from fixed seeds, and the commands of the pages for
# operators and for engineers on call as written.
test: build
	$(GO) test -race -timeout 9m ./...
	scripts/operating.sh >out/operating.log 2>&1 || { tail -n 30 out/operating.log; exit 1; }
	@tail -n 1 out/operating.log
	scripts/operations.sh >out/operations.log 2>&1 || { tail -n 30 out/operations.log; exit 1; }
	@tail -n 1 out/operations.log

# measure runs every comparison from fixed seeds; ONLY=regexp picks some.
measure:
	$(GO) run ./cmd/measure --only '$(ONLY)'

# demo starts two services as separate processes and shows what they do.
demo: build
	scripts/demo.sh

# slopes measures how costs grow with sizes; ONLY=regexp picks some.
slopes:
	$(GO) run ./cmd/slopes --only '$(ONLY)'

# bench compares an engine called directly with one called through the system.
bench: build
	scripts/bench.sh

# fuzz runs the stateful fuzz tests with fresh seeds for FUZZSECONDS (600).
fuzz:
	scripts/fuzz.sh

# soak plays DAYS (10) days of faults with fresh seeds against real processes.
soak: build
	$(BIN)/soak --days $(or $(DAYS),10) --parallel 2
