# The commands people and scripts rely on; Meson does the building.
BUILD ?= build
PACKAGES = gcc meson ninja-build pkg-config clang-14 libclang-rt-14-dev \
	clang-format clang-tidy mandoc spin curl perl python3 \
	liburcu-dev libmsgpack-dev libmicrohttpd-dev libneon27-gnutls-dev \
	liblog4c-dev libglib2.0-dev libfyaml-dev libjansson-dev \
	libxxhash-dev libsodium-dev libgnutls28-dev libev-dev libhttp-parser-dev \
	zlib1g-dev
SOURCES = $(shell git ls-files '*.c' '*.h')

all: build

$(BUILD)/build.ninja:
	meson setup $(BUILD) $(MESON_FLAGS)

build: $(BUILD)/build.ninja
	ninja -C $(BUILD)

packages:
	sh tests/install-packages $(PACKAGES)

check: packages build
	sh tests/run-tests $(BUILD)

run: packages build
	sh contrib/run $(BUILD)

demo: build
	sh tests/demo/run $(BUILD)
	sh tests/demo/run-roles $(BUILD)

asan:
	$(MAKE) build BUILD=build-asan \
		MESON_FLAGS='-Db_sanitize=address,undefined'
	UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 \
		sh tests/run-tests build-asan

tsan:
	$(MAKE) build BUILD=build-tsan MESON_FLAGS=-Db_sanitize=thread
	TEST_SET=threads sh tests/run-tests build-tsan

coverage:
	$(MAKE) build BUILD=build-coverage MESON_FLAGS=-Db_coverage=true
	sh tests/coverage build-coverage

lint:
	@clang-format --dry-run --Werror $(SOURCES)
	sh tests/run-tidy $(BUILD)
	test -z "$(wildcard man/*)" || mandoc -T lint -W warning man/*

format:
	@clang-format -i $(SOURCES)

model:
	sh model/run

bench: build
	sh bench/run $(BUILD)

slopes: build
	sh bench/slopes $(BUILD)

install: build
	meson install -C $(BUILD)

.PHONY: all build packages check run demo asan tsan coverage lint format model \
	bench slopes install
