# Sources are found by wildcard, so a new file in src/, platform/, programs/,
# standins/, tests/ or bench/ needs no change here.
CC = gcc
CXX = g++
BUILD = build
OPT ?= -O2 -g
PACKAGES = ck msgpack log4c libmicrohttpd libcurl glib-2.0 jansson libxxhash \
    gsl uuid nettle
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
    -Wmissing-prototypes -Wpointer-arith -Wvla
WARNXX = -Wall -Wextra -Werror
CPPFLAGS = -D_GNU_SOURCE -Iinclude -I. $(shell pkg-config --cflags $(PACKAGES))
CFLAGS = -std=c11 $(OPT) $(WARN) -pthread
CXXFLAGS = -std=c++17 $(OPT) $(WARNXX) -pthread
LDLIBS = $(shell pkg-config --libs $(PACKAGES)) -lev -lhttp_parser -lstdc++ -lm -pthread

LIB = $(BUILD)/libapricot.a
LIB_C = $(sort $(wildcard src/*/*.c))
LIB_CC = $(sort $(wildcard src/*/*.cc))
LIB_OBJ = $(LIB_C:%.c=$(BUILD)/%.o) $(LIB_CC:%.cc=$(BUILD)/%.o)
STANDIN_SHARED = $(sort $(wildcard standins/lib/*.c))
STANDIN_OBJ = $(STANDIN_SHARED:%.c=$(BUILD)/%.o)
PLATFORM_LIB = $(BUILD)/libplatform.a
PLATFORM_C = $(filter-out platform/main.c,$(sort $(wildcard platform/*.c)))
PLATFORM_OBJ = $(PLATFORM_C:%.c=$(BUILD)/%.o)
PROGRAMS = $(patsubst programs/%.c,$(BUILD)/%,$(sort $(wildcard programs/*.c))) \
    $(BUILD)/apricot-gateway
STANDINS = $(patsubst standins/%.c,$(BUILD)/%,$(sort $(wildcard standins/*.c)))
BENCHES = $(patsubst bench/%.c,$(BUILD)/bench/%,$(sort $(wildcard bench/*.c)))
TESTS = $(patsubst %.c,$(BUILD)/%, \
    $(sort $(wildcard tests/test_*.c platform/tests/test_*.c)))
PROPS = $(patsubst tests/%.cc,$(BUILD)/tests/%,$(sort $(wildcard tests/prop_*.cc)))

# The fuzz program and what it links are built with sanitizers, in a folder of
# their own.
FUZZ_BUILD = $(BUILD)/fuzz-asan
FUZZ_OPT = -O1 -g -fno-omit-frame-pointer -fsanitize=address,undefined \
    -fno-sanitize-recover=all
FUZZ_OBJ = $(patsubst %.c,$(BUILD)/%.o, \
    $(sort $(wildcard tests/fuzz_*.c platform/tests/fuzz_*.c)))
FUZZ_MAKE = $(MAKE) -j8 BUILD=$(FUZZ_BUILD) OPT="$(FUZZ_OPT)" \
    $(FUZZ_BUILD)/fuzz

C_FILES = $(shell git ls-files -co --exclude-standard '*.c' '*.h')
CC_FILES = $(shell git ls-files -co --exclude-standard '*.cc')

.PHONY: all packages programs tests unit format format-check lint check demo \
    bench proof scripted soak soak-short fuzz fuzz-short clean
.SECONDARY:

all: $(PROGRAMS) $(STANDINS)

packages:
	scripts/install-packages

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC  $<"; $(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	@echo "  CXX $<"; $(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(PLATFORM_LIB): $(PLATFORM_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/%: $(BUILD)/programs/%.o $(PLATFORM_LIB) $(LIB)
	@$(CC) $^ $(LDLIBS) -o $@

$(BUILD)/apricot-gateway: $(BUILD)/platform/main.o $(PLATFORM_LIB) $(LIB)
	@$(CC) $^ $(LDLIBS) -o $@

$(BUILD)/%: $(BUILD)/standins/%.o $(STANDIN_OBJ) $(LIB)
	@$(CC) $^ $(LDLIBS) -o $@

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(STANDIN_OBJ) $(LIB)
	@mkdir -p $(@D)
	@$(CC) $^ $(LDLIBS) -o $@

$(BUILD)/tests/test_%: $(BUILD)/tests/test_%.o $(STANDIN_OBJ) $(PLATFORM_LIB) \
    $(LIB)
	@$(CC) $^ $(LDLIBS) -lcmocka -o $@

$(BUILD)/platform/tests/test_%: $(BUILD)/platform/tests/test_%.o \
    $(PLATFORM_LIB) $(LIB)
	@$(CC) $^ $(LDLIBS) -lcmocka -o $@

$(BUILD)/tests/prop_%: $(BUILD)/tests/prop_%.o $(STANDIN_OBJ) $(LIB)
	@$(CXX) $^ -lrapidcheck $(LDLIBS) -o $@

$(BUILD)/fuzz: $(FUZZ_OBJ) $(PLATFORM_LIB) $(LIB)
	@$(CC) $(OPT) $^ $(LDLIBS) -o $@

tests: all $(TESTS) $(PROPS)

# Prints one line per test program and the totals.
unit: tests
	scripts/run-tests $(TESTS) $(PROPS)

scripted: all
	scripts/run-scripted

format:
	clang-format -i $(C_FILES) $(CC_FILES)

format-check:
	@clang-format --dry-run -Werror $(C_FILES) $(CC_FILES)

lint:
	@printf '%s\n' $(filter %.c,$(C_FILES)) | xargs -P 8 -n 4 \
	    scripts/lint $(CPPFLAGS)

check: packages
	$(MAKE) -j8 tests
	scripts/check-platform-names
	$(MAKE) format-check
	$(MAKE) lint
	$(MAKE) unit
	$(MAKE) fuzz-short
	$(MAKE) scripted
	$(MAKE) soak-short

demo: packages
	$(MAKE) -j8 all
	scripts/demo

bench: packages
	$(MAKE) -j8 $(BENCHES) all
	scripts/bench

# Arguments of the soak test. The default runs the listed cases and ten
# new seeds.
SOAK ?= --cases platform/soak/cases.txt --fresh 10

soak: packages
	$(MAKE) -j8 $(BUILD)/apricot-gateway
	/usr/bin/python3 platform/soak/soak.py $(SOAK)

# A short soak test with a fixed seed, which `make check` runs.
soak-short: $(BUILD)/apricot-gateway
	/usr/bin/python3 platform/soak/soak.py --seeds 4 665029

# Variables of `make fuzz`: SECONDS (of all edges together; default: the short
# run), SEED (default: a fresh one), EDGE (only this one) and CASE (only this
# one, to repeat a failure).
fuzz:
	$(FUZZ_MAKE)
	EDGE=$(EDGE) CASE=$(CASE) SECONDS=$(SECONDS) \
	    SEED=$(or $(SEED),$(shell date +%s)) $(FUZZ_BUILD)/fuzz

# A fixed number of cases of a fixed seed, which `make check` runs.
fuzz-short:
	$(FUZZ_MAKE)
	env -u EDGE -u CASE -u SECONDS -u SEED $(FUZZ_BUILD)/fuzz

proof: packages
	$(MAKE) -j8 tests
	scripts/proof

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -path $(FUZZ_BUILD) -prune -o -name '*.d' -print \
    2>/dev/null)
