# Everyday tasks. `make test` runs the same checks as CI.

CONFIG ?= $(LB_CONFIG)
FUZZ_TIME ?= 10s
FUZZ = internal/clients:FuzzHead internal/clients:FuzzHeadScanner internal/config:FuzzParse internal/discovery:FuzzDecode \
	internal/decide/statemachine:FuzzDecode internal/platform:FuzzLines internal/rehearsal/script:FuzzParse internal/servers:FuzzReadResponse internal/wire:FuzzDecode logic:FuzzDecodeReport

.PHONY: build test lint run check fuzz

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	./test.sh

lint:
	@unformatted=$$(gofmt -l cmd internal logic); if [ -n "$$unformatted" ]; then echo "not formatted by gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool -modfile=tools/lint.mod staticcheck ./...

run: build
	bin/merlinarch serve --config "$(CONFIG)"

check: build
	bin/merlinarch check --config "$(CONFIG)"

fuzz:
	@for t in $(FUZZ); do go test ./$${t%%:*} -run '^$$' -fuzz "^$${t##*:}$$" -fuzztime $(FUZZ_TIME) || exit 1; done
