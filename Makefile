.PHONY: all packages build demo test bench capacity lint fuzz

SEED ?= 1
SECONDS ?= 60

all: build

packages:
	./scripts/install-packages

build: packages
	cmake -S . -B build -G Ninja >build-configure.log || (cat build-configure.log; exit 1)
	cmake --build build

demo: build
	python3 scripts/demo.py --bin build/bin

test: build
	cd build && ctest --output-on-failure
	@if [ -s KNOWN-RED.txt ]; then echo "passed over (KNOWN-RED.txt):"; cat KNOWN-RED.txt; fi

bench: build
	python3 scripts/bench.py --bin build/bin

capacity: build
	python3 scripts/capacity.py --bin build/bin

fuzz: packages
	./scripts/fuzz $(SEED) $(SECONDS)

lint: build
	./scripts/lint
