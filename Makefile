# galenagate: build, tests and demo.

CC ?= gcc
BUILD ?= build
# Flags for one build variant, for example SAN="-fsanitize=address,undefined".
SAN ?=
SANITIZE = -fsanitize=address,undefined -fno-sanitize-recover=undefined \
  -fno-omit-frame-pointer
# -iquote, because src/sched.h would hide the system header of that name.
CPPFLAGS += -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -iquote src -iquote . -I/usr/include/tirpc
CFLAGS ?= -O2 -g
CFLAGS += -std=gnu11 -Wall -Wextra -Werror -MMD -MP $(SAN)
LDLIBS = -lh2o -lssl -lcrypto -luv -lcurl -ltirpc -ljansson -lxxhash \
  -llog4c -lm -lpthread

GENERATED = src/peer_xdr.c src/edge/digest_xdr.c
LIB_SRC = $(filter-out src/main.c,$(wildcard src/*.c src/*/*.c platform/*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
UNIT_SRC = $(wildcard tests/test_*.c) tests/fleetsim.c tests/httppeer.c \
  tests/referenceplan.c tests/suite.c
E2E_SRC = $(wildcard tests/e2e_*.c) $(wildcard tests/cluster*.c) tests/edgecluster.c tests/suite.c
STANDINS = $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/standin_*.c))
BENCH_SRC = $(wildcard tests/bench*.c) $(wildcard tests/cluster*.c) tests/referenceplan.c
STANDIN_LIB = $(wildcard tests/standinlib*.c)
PEER_CFLAGS = -Wno-unused-variable -Wno-unused-parameter

.PHONY: all setup check check-sanitize unit e2e fuzz bench demo format lint clean traces
all: $(BUILD)/galenagate $(STANDINS)

setup:
	@scripts/setup

$(GENERATED:%.c=$(BUILD)/%.o): CFLAGS += $(PEER_CFLAGS)

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c $< -o $@

# Objects, not an archive: plug-ins register themselves by constructors,
# which a linker would leave out of an archive.
$(BUILD)/galenagate: $(BUILD)/src/main.o $(LIB_OBJ)
	$(CC) $(SAN) $^ -o $@ $(LDLIBS)

$(BUILD)/unit: $(UNIT_SRC:%.c=$(BUILD)/%.o) $(LIB_OBJ)
	$(CC) $(SAN) $^ -o $@ $(LDLIBS) -lcunit

$(BUILD)/e2e: $(E2E_SRC:%.c=$(BUILD)/%.o) $(LIB_OBJ)
	$(CC) $(SAN) $^ -o $@ $(LDLIBS) -lcunit

$(BUILD)/standin_%: $(BUILD)/tests/standin_%.o $(STANDIN_LIB:%.c=$(BUILD)/%.o) $(LIB_OBJ)
	$(CC) $(SAN) $^ -o $@ $(LDLIBS)

$(BUILD)/bench: $(BENCH_SRC:%.c=$(BUILD)/%.o) $(LIB_OBJ)
	$(CC) $(SAN) $^ -o $@ $(LDLIBS) -lcunit

$(BUILD)/make_traces: $(BUILD)/tests/make_traces.o $(LIB_OBJ)
	$(CC) $(SAN) $^ -o $@ $(LDLIBS)

# Writes the traces and their stated outcomes anew.
TRACES = titlovi-day titlovi-burst magnolia-day magnolia-burst
traces: $(BUILD)/make_traces $(BUILD)/galenagate
	@for t in $(TRACES); do \
	  $(BUILD)/make_traces $${t%-*} $${t#*-} tests/lists/$${t%-*} \
	    >tests/traces/$$t.jsonl || exit 1; \
	  for p in real naive; do \
	    $(BUILD)/galenagate replay tests/traces/$$t.jsonl --policy $$p \
	      --report tests/traces/$$t.$$p.json || exit 1; \
	  done; \
	done

.SECONDARY:

unit: $(BUILD)/unit
	$(BUILD)/unit

e2e: all $(BUILD)/e2e
	$(BUILD)/e2e

# Feeds the parsers with mutations of tests/corpus; the same seed gives the same
# run. New inputs that reach more code go to FUZZ_CORPUS.
FUZZ_RUNS ?= 200000
FUZZ_SEED ?= 1
FUZZ_CORPUS ?= $(BUILD)-fuzz/corpus
FUZZ_LIMITS = -max_len=4096 -rss_limit_mb=512 -timeout=10
fuzz:
	$(MAKE) BUILD=$(BUILD)-fuzz CC=clang \
	  SAN="-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined" \
	  $(BUILD)-fuzz/fuzz_parsers
	mkdir -p $(FUZZ_CORPUS)
	$(BUILD)-fuzz/fuzz_parsers -runs=$(FUZZ_RUNS) -seed=$(FUZZ_SEED) $(FUZZ_LIMITS) $(FUZZ_CORPUS) tests/corpus

$(BUILD)/fuzz_parsers: $(BUILD)/tests/fuzz_parsers.o $(LIB_OBJ)
	$(CC) $(SAN) -fsanitize=fuzzer $^ -o $@ $(LDLIBS)

# PARTS="latency idle" runs only these parts.
bench: all $(BUILD)/bench
	$(BUILD)/bench $(PARTS)

# Passes over the tests that KNOWN-RED.txt lists, and prints them.
check: export KNOWN_RED = KNOWN-RED.txt
check: setup
	$(MAKE) all unit e2e

# Unit and end-to-end tests under the address and undefined-behaviour
# sanitizers, in a build directory of its own.
check-sanitize: export ASAN_OPTIONS = detect_leaks=1:fast_unwind_on_malloc=0
check-sanitize: export UBSAN_OPTIONS = print_stacktrace=1
check-sanitize: setup
	$(MAKE) BUILD=build-sanitize SAN="$(SANITIZE)" all \
	  build-sanitize/unit build-sanitize/e2e
	build-sanitize/unit; unit=$$?; build-sanitize/e2e && exit $$unit

demo: setup
	$(MAKE) all
	scripts/demo

SOURCES = $(wildcard src/*.[ch] src/*/*.[ch] platform/*.[ch] tests/*.[ch])
FORMATTED = $(filter-out src/peer.h src/edge/digest.h $(GENERATED),$(SOURCES))
format:
	clang-format -i $(FORMATTED)

lint:
	clang-format --dry-run --Werror $(FORMATTED)
	printf '%s\n' $(filter %.c,$(FORMATTED)) | \
	  xargs -P 8 -n 4 sh -c 'clang-tidy --quiet --warnings-as-errors="*" "$$@" -- $(CPPFLAGS) -std=gnu11' sh

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
