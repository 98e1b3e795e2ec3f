# Wrapper around CMake and the scripts. `make help` lists the targets.
BUILD ?= build
BUILD_TYPE ?= RelWithDebInfo
SHELL := /bin/bash

.DEFAULT_GOAL := build

.PHONY: help
help: ## Lists the targets.
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

.PHONY: deps
deps: ## Installs the packages that the build needs (Debian).
	@scripts/install-deps.sh

$(BUILD)/build.ninja: CMakeLists.txt | deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(BUILD_TYPE) \
	    -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null

.PHONY: build
build: $(BUILD)/build.ninja ## Builds the programs, the fakes and the tests.
	@cmake --build $(BUILD)

.PHONY: test
test: build ## Runs the unit tests, short fuzz runs, policy benchmark and scripted runs.
	@scripts/run-tests.sh $(BUILD)

.PHONY: lint
lint: build ## Runs clang-format, clang-tidy and lint-house.sh.
	@scripts/lint.sh $(BUILD)

.PHONY: format
format: ## Formats the sources in place.
	@scripts/list-sources.sh | xargs clang-format -i

.PHONY: bench
bench: build ## Runs the benchmarks and checks their bounds.
	@scripts/run-bench.sh $(BUILD)

.PHONY: demo
demo: build ## Starts the embedded configuration and sends requests to it.
	@scripts/demo.sh $(BUILD)

SEED ?= 1
SECONDS ?= 60

.PHONY: soak
soak: build ## Runs the soak test: make soak SEED=7 SECONDS=60.
	@scripts/run-soak.sh $(BUILD) $(SEED) $(SECONDS)

.PHONY: fuzz
fuzz: deps ## Runs the fuzz targets for a long time with AddressSanitizer.
	@scripts/run-fuzz.sh

.PHONY: generate
generate: ## Regenerates the protobuf-c code from the .proto files.
	@cd src/wire && protoc-c --c_out=generated wire.proto
	@cd src/control && protoc-c --c_out=generated state.proto

.PHONY: clean
clean: ## Removes the build folder.
	@rm -rf $(BUILD)
