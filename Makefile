.PHONY: build test install generate lint run bench proofs slopes replay soak planted

# build makes both programs.
build:
	go build -o bin/ ./cmd/...
	go build -o bin/lab ./lab

# install puts both programs where Go keeps programs.
install:
	go install ./cmd/...

# generate writes the Go types of the schemas; the result is committed.
generate:
	cd lab && go tool go-jsonschema -t -p settings --capitalization ID --capitalization URL --tags json -o ../internal/settings/settings_gen.go ../schema/settings.json
	cd lab && go tool go-jsonschema -t -p config --only-models --capitalization ID --capitalization URL --tags json -o ../internal/config/config_gen.go ../schema/config.json
	cd lab && go tool go-jsonschema -t -p wire --only-models --capitalization ID --capitalization URL --tags json -o ../internal/wire/wire_gen.go ../schema/messages.json
	gofmt -w internal/settings/settings_gen.go internal/config/config_gen.go internal/wire/wire_gen.go

# test runs all tests of both modules; SKIP names tests that are left out, by a pattern. TIMED are
# held to their time without the race detector, which takes most of the processor's time there.
SKIP ?=
TIMED = TestALargeRowReachesAllNodesInTime|TestManyEnginesReachAllNodesInTime|TestEndlessBytesAreNotRead|TestEndlessBytesOfAnEngineAreNotRead
test:
	go test -race -timeout 20m $(if $(SKIP),-skip '$(SKIP)') ./... ./lab/...
	go test $(if $(SKIP),-skip '$(SKIP)') -run '^($(TIMED))$$' ./internal/feed ./internal/engine ./platform

# lint checks format, vet and staticcheck.
lint:
	@test -z "$$(gofmt -l . | tee /dev/stderr)"
	go vet ./... ./lab/...
	go tool staticcheck ./... ./lab/...

# run starts stand-ins and three nodes, sends a mixed burst, and stops all.
run:
	go run ./lab demo

# proofs runs all proofs under faults, the long ones too; SEED repeats a run.
SEED ?= 1
proofs:
	CROFTTURN_PROOFS=all CROFTTURN_SEED=$(SEED) go test -count=1 -timeout 60m -v ./lab/proofs

# soak plays seeds of the fault soak; about 15 s a seed.
SEEDS ?= 3-52
soak:
	SOAK_SEEDS=$(SEEDS) go test -count=1 -timeout 60m -v -run 'TestSoak$$' ./lab/soak

# slopes measures what docs/CAPACITY.md is worked out from; about eight minutes.
slopes: build
	CROFTTURN_BIN=$(CURDIR)/bin bin/lab slopes

# bench compares the ways of deciding and measures what a node adds; it fails on
# the committed bounds. About four minutes.
bench: build
	go test -run '^$$' -bench . -benchtime 20000x ./internal/broker
	CROFTTURN_BIN=$(CURDIR)/bin bin/lab bench -seeds 2 -policies broker,direct,oracle -bounds lab/bench/bounds.json

# replay plays the recorded traces against their stated outcomes, in time of its
# own; the result is the same every time.
replay:
	go test -count=1 -v ./lab/replay

# planted builds the node with planted faults and plays the soak until it finds each.
planted:
	SOAK_PLANTED=1 go test -count=1 -timeout 30m -v -run 'TestPlantedFaultsAreFound$$' ./lab/soak
