# Runs the common tasks through CMake and the scripts. `make help` lists the targets.

BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: help install build test demo prove soak bench bench-recovery capacity bench-path plots format check-format lint clean

help:
	@echo "install       install the Debian packages that the build needs (root)"
	@echo "build         configure and compile into $(BUILD)/"
	@echo "test          build, then run unit, model and end-to-end tests"
	@echo "demo          install, build, and run both workloads on local processes"
	@echo "prove         check the models and run fault schedules (PROVE_SEEDS= sets their number)"
	@echo "soak          real gateways and journals under random faults (SOAK= sets the options of testsuite/soak/run)"
	@echo "bench         compare scheduling policies under virtual time; plots draws the CSV"
	@echo "capacity      measure the coefficients of docs/CAPACITY.md"
	@echo "bench-path    latency and CPU that entry and sidecar add to a direct call"
	@echo "bench-recovery time from a kill to the next answered turn; 60 s without the object API"
	@echo "format        format the sources; check-format and lint only report problems"

install:
	./tools/install-packages

build:
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure
	./testsuite/run --build $(BUILD)

demo: install build
	./testsuite/demo/run --build $(BUILD)

prove: build
	./tools/prove --build $(BUILD)

SOAK ?= --seeds 50 --seconds 60

soak: build
	./testsuite/soak/run --build $(BUILD) --regressions --keep-logs $(BUILD)/soak
	./testsuite/soak/run --build $(BUILD) --keep-logs $(BUILD)/soak $(SOAK)

bench: build
	$(BUILD)/src/rattandeck-bench --output $(BUILD)/bench

bench-recovery: build
	./tools/bench-recovery --build $(BUILD)

capacity: build
	$(BUILD)/src/rattandeck-capacity | tee $(BUILD)/capacity.csv

plots: bench
	./tools/plots $(BUILD)/bench

bench-path: build
	./tools/bench-path --build $(BUILD)

format:
	git ls-files '*.h' '*.cpp' | xargs clang-format -i

check-format:
	git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror

lint: build
	git ls-files '*.cpp' | xargs -P $(JOBS) -n 1 clang-tidy -p $(BUILD) --quiet

clean:
	rm -rf $(BUILD)
