# Thin wrapper over CMake.
BUILD ?= build
JOBS ?= 6

.PHONY: all build check bench bench-daemon demo format lint install clean packages

all: build

packages:
	sh tools/install-packages.sh

build:
	cmake -S . -B $(BUILD) > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

check:
	sh tools/check.sh

demo: packages build
	sh tools/demo.sh $(BUILD)

bench: build
	sh tools/bench.sh $(BUILD)

bench-daemon: build
	sh tools/bench-daemon.sh $(BUILD)

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

lint:
	sh tools/lint.sh $(BUILD)

install: build
	cmake --install $(BUILD)

clean:
	rm -rf $(BUILD) build-check build-fuzz
