BIN := $(CURDIR)/bin
TOOLS := github.com/twitchtv/twirp/protoc-gen-twirp google.golang.org/protobuf/cmd/protoc-gen-go \
	mvdan.cc/gofumpt github.com/mgechev/revive golang.org/x/tools/cmd/stringer golang.org/x/perf/cmd/benchstat ./generator
PACKAGES := ./... ./standin/... ./tools/generator

# Targets for daily work; README lists them by task.
.PHONY: soak crowds schedules race build tools gopls test lint format generate check-generated demo demo-shell measure fuzz clean

build:
	go build -o $(BIN)/ ./cmd/... ./standin/cmd/...

tools:
	@mkdir -p $(BIN)
	@cd tools && for t in $(TOOLS); do go build -o $(BIN)/ $$t || exit 1; done

# The Go language server, for renaming identifiers. It has its own module, because it needs another
# version of golang.org/x/tools than the other tools.
gopls:
	@mkdir -p $(BIN)
	cd tools/gopls && GOWORK=off go build -o $(BIN)/ golang.org/x/tools/gopls

# The crowds are a target of their own, since they measure memory and need the machine for themselves.
test:
	go test -timeout 20m -skip '^TestCrowd' $(PACKAGES)

# Clients that don't keep to the protocol, against real processes, one crowd at a time.
crowds:
	go test -count=1 -p 1 -parallel 1 -timeout 20m -run '^TestCrowd' ./standin/processes

# The race detector on the tests with the most concurrent goroutines.
race:
	go test -race -timeout 20m ./standin/proof -run 'Traces/(service|poison|grace)|TestEnds|TestMembershipLeave'

lint: tools
	@test -z "$$($(BIN)/gofumpt -l . | grep -v '\.pb\.go$$\|\.twirp\.go$$\|_string\.go$$' | tee /dev/stderr)"
	go vet $(PACKAGES)
	$(BIN)/revive -config revive.toml -set_exit_status -exclude ./protocol/schema/... $(PACKAGES)

format: tools
	$(BIN)/gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$\|\.twirp\.go$$\|_string\.go$$')

# Compiles the schema; the arguments are the options of generator.
generate_schema = $(BIN)/generator $(1) -module eelgrasspoint protocol/schema/eelgrass.proto $(BIN)/protoc-gen-go $(BIN)/protoc-gen-twirp

generate: tools
	$(call generate_schema,-out .)
	PATH=$(BIN):$$PATH go generate ./...

# Compares the committed generated code with newly generated code.
check-generated: tools
	@$(call generate_schema,-out _out/generated)
	@for f in eelgrass.pb.go eelgrass.twirp.go; do cmp _out/generated/protocol/schema/$$f protocol/schema/$$f || exit 1; done
	@PATH=$(BIN):$$PATH go generate . && git diff --exit-code -- '*_string.go'

# Starts a cluster of real processes and checks it.
demo: build
	$(BIN)/demo --bin $(BIN)

clean:
	rm -rf $(BIN) _out

# Starts the same cluster and keeps it running until interrupted.
demo-shell: build
	$(BIN)/demo --bin $(BIN) --keep

# Measurements in the simulator, then with real processes.
measure: build
	go test ./standin/proof -run TestMeasure -measure -v -count=1 -timeout 20m
	$(BIN)/measure --bin $(BIN)

# Checks 10000 random schedules of faults in virtual time.
schedules:
	go test ./standin/proof -run TestSchedules -schedules 10000 -count=1 -timeout 60m

# Runs each fuzz test for 20 s, until the first failure.
fuzz:
	for f in $$(grep -rl '^func Fuzz' --include=*_test.go . ); do \
	for name in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\).*/\1/p' $$f); do \
	go test ./$$(dirname $$f) -run '^$$' -fuzz "^$$name$$" -fuzztime 20s || exit 1; done; done

# Injects random faults into real processes, with new seeds each time.
soak: build
	$(BIN)/soak --bin $(BIN) --seed $$(date +%s) --seeds 8
