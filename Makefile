BIN := $(CURDIR)/bin
TOOLS := github.com/twitchtv/twirp/protoc-gen-twirp google.golang.org/protobuf/cmd/protoc-gen-go \
	mvdan.cc/gofumpt github.com/mgechev/revive golang.org/x/tools/cmd/stringer golang.org/x/perf/cmd/benchstat
PACKAGES := ./... ./standin/...

.PHONY: build tools test lint format generate check-generated demo demo-shell measure fuzz clean

build:
	go build -o $(BIN)/ ./cmd/... ./standin/cmd/...

tools:
	@mkdir -p $(BIN)
	@cd tools && for t in $(TOOLS); do go build -o $(BIN)/ $$t || exit 1; done

test:
	go test $(PACKAGES)

lint: tools
	@test -z "$$($(BIN)/gofumpt -l . | grep -v '\.pb\.go$$\|\.twirp\.go$$' | tee /dev/stderr)"
	go vet $(PACKAGES)
	$(BIN)/revive -config revive.toml -set_exit_status -exclude ./protocol/schema/... $(PACKAGES)

format: tools
	$(BIN)/gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$\|\.twirp\.go$$')

generate: tools
	PATH=$(BIN):$$PATH protoc -I . --go_out=. --go_opt=module=eelgrasspoint --twirp_out=. --twirp_opt=module=eelgrasspoint protocol/schema/eelgrass.proto
	PATH=$(BIN):$$PATH go generate ./...

demo: build
	$(BIN)/demo --bin $(BIN)

clean:
	rm -rf $(BIN) out
