# make            optimized build in build/release
# make test       build under sanitizers in build/test, run every test
# make lint       formatter and linters
# make demo       show the whole system on this machine
# make bench      print the benchmark tables
# make capacity   print the slopes behind docs/CAPACITY.md
# make install    install into $(DESTDIR)$(PREFIX)
# make build-id   print the id of builds of these sources

PREFIX = /usr/local
ifndef V
QUIET = @echo '  ' $(notdir $@);
endif
CC = gcc
CXX = g++
VARIANT = release
B = build/$(VARIANT)

PKGS = libuv libzmq glib-2.0 gmodule-2.0 log4c inih jansson msgpack libxxhash libzstd
# Installs what is missing, once per call of make, unless NO_INSTALL is set.
ifeq ($(MAKELEVEL)$(NO_INSTALL),0)
$(shell .ci/install >&2)
endif

release_FLAGS = -O2
test_FLAGS = -O1 -fsanitize=address,undefined -fno-sanitize-recover=all
WARN = -Wall -Wextra -Werror -Wshadow -Wvla
CPPFLAGS = -I. -D_GNU_SOURCE $(shell pkg-config --cflags $(PKGS))
CFLAGS = -std=gnu11 -g $(WARN) -Wstrict-prototypes -Wmissing-prototypes \
	$($(VARIANT)_FLAGS)
CXXFLAGS = -std=c++17 -g $(WARN) $($(VARIANT)_FLAGS)
# Programs load only the libraries that they use, so that they start sooner.
LDFLAGS = $($(VARIANT)_FLAGS) -Wl,--as-needed
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lm

LIB_DIRS = base config fleet flow request charts
NET_DIRS = store net platform
LIB_SRC = $(wildcard $(addsuffix /*.c,$(LIB_DIRS)))
NET_SRC = $(wildcard $(addsuffix /*.c,$(NET_DIRS)))
BUILTIN_SRC = $(wildcard builtin/*.c)
STAND_IN_LIB = $(filter-out $(STAND_INS:%=stand-in/%.c),\
	$(wildcard stand-in/*.c))
STAND_INS = caller cookie-caller cookie-upstream fabric platform-store proxy \
	store upstream
T_CHECK = $(patsubst t/%.c,%,$(wildcard t/check-*.c))
T_PROP = $(patsubst t/%.cc,%,$(wildcard t/prop-*.cc))
T_SHELL = $(wildcard t/whole-*.sh)
BENCHES = $(patsubst t/%.c,%,$(wildcard t/bench-*.c))
T_PROGRAMS = history raw
T_SUPPORT = $(filter-out $(T_CHECK:%=t/%.c) $(BENCHES:%=t/%.c) \
	$(T_PROGRAMS:%=t/%.c),\
	$(wildcard t/*.c))
SOURCES = $(wildcard *.c) $(LIB_SRC) $(NET_SRC) $(BUILTIN_SRC) \
	$(wildcard stand-in/*.c) $(wildcard t/*.c)
HEADERS = $(wildcard */*.h)

# Depends on names and contents only, so that it is the same for all builds.
PRODUCT_SRC = $(sort $(wildcard *.c $(foreach d,\
	$(LIB_DIRS) $(NET_DIRS) builtin,$(d)/*.c $(d)/*.h)))
BUILD_ID := $(shell sha256sum $(PRODUCT_SRC) | sha256sum | cut -c1-12)

obj = $(patsubst %.c,$(B)/%.o,$(1))
LIB = $(B)/libbaobabvalve.a
NETLIB = $(B)/libbaobabvalvenet.a
STANDLIB = $(B)/libstandin.a
PROGRAMS = $(B)/baobabvalve $(B)/baobabvalved $(B)/baobabvalve-edge \
	$(STAND_INS:%=$(B)/%-stand-in)

all: $(PROGRAMS)

$(LIB): $(call obj,$(LIB_SRC))
$(NETLIB): $(call obj,$(NET_SRC))
$(STANDLIB): $(call obj,$(STAND_IN_LIB) $(T_SUPPORT))
$(LIB) $(NETLIB) $(STANDLIB):
	@rm -f $@
	$(QUIET)ar rcs $@ $^

LIBS = $(STANDLIB) $(NETLIB) $(LIB)

$(B)/baobabvalve: $(call obj,baobabvalve.c $(BUILTIN_SRC)) $(NETLIB) $(LIB)
	$(QUIET)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/baobabvalved: $(call obj,baobabvalved.c) $(NETLIB) $(LIB)
	$(QUIET)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/baobabvalve-edge: $(call obj,baobabvalve-edge.c) $(NETLIB) $(LIB)
	$(QUIET)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/%-stand-in: $(B)/stand-in/%.o $(LIBS)
	$(QUIET)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(T_PROGRAMS:%=$(B)/%): $(B)/%: $(B)/t/%.o $(LIBS)
	$(QUIET)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/check-%: $(B)/t/check-%.o $(LIBS)
	$(QUIET)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) $(shell pkg-config --libs check)
$(B)/bench-%: $(B)/t/bench-%.o $(LIBS)
	$(QUIET)$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/prop-%: $(B)/t/prop-%.o $(LIBS)
	$(QUIET)$(CXX) $(LDFLAGS) -o $@ $^ -lrapidcheck $(LDLIBS)

# Written only if it changes, so that nothing else is built again.
$(B)/build-id: FORCE
	@mkdir -p $(B)
	@echo $(BUILD_ID) | cmp -s - $@ || echo $(BUILD_ID) >$@
$(B)/base/version.o: $(B)/build-id
$(B)/base/version.o: CPPFLAGS += -DBUILD_ID='"$(BUILD_ID)"'
build-id:
	@echo $(BUILD_ID)

$(B)/%.o: %.c
	@mkdir -p $(dir $@)
	$(QUIET)$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<
$(B)/%.o: %.cc
	@mkdir -p $(dir $@)
	$(QUIET)$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

TESTS = $(T_CHECK:%=$(B)/%) $(T_PROP:%=$(B)/%) $(T_PROGRAMS:%=$(B)/%)

tests: all $(TESTS)
test:
	$(MAKE) VARIANT=test tests
	t/run build/test

bench: $(BENCHES:%=$(B)/%)
	for b in $^; do $$b || exit 1; done

capacity: all $(B)/bench-capacity
	$(B)/bench-capacity
	sh t/capacity.sh $(B)

demo: all
	t/demo $(B)

format:
	@clang-format -i $(SOURCES) $(HEADERS) $(wildcard t/*.cc)

# Renews the pages that are made of what the programs print.
docs: all
	t/print-commands $(B) >docs/COMMANDS.md
	{ sed '/^|/,$$d' docs/COUNTERS.md && \
		LC_ALL=C $(B)/baobabvalve status --list-counters; } >build/t.md
	mv build/t.md docs/COUNTERS.md

lint: lint-format lint-tidy lint-cppcheck
lint-format:
	@clang-format --dry-run -Werror $(SOURCES) $(HEADERS) \
		$(wildcard t/*.cc)
TIDY_STAMPS = $(patsubst %.c,build/tidy/%.ok,$(SOURCES))
lint-tidy: $(TIDY_STAMPS)
build/tidy/%.ok: %.c $(HEADERS) .clang-tidy
	@mkdir -p $(dir $@)
	$(QUIET)clang-tidy --quiet $< -- $(CPPFLAGS) -std=gnu11 2>/dev/null
	@touch $@
lint-cppcheck:
	@cppcheck --quiet --error-exitcode=1 --std=c11 -I. \
		--enable=warning,performance,portability \
		--inline-suppr --suppress=missingIncludeSystem \
		--suppress=unknownMacro -j 4 \
		$(SOURCES)

install: all
	install -d $(DESTDIR)$(PREFIX)/bin
	install $(B)/baobabvalve $(B)/baobabvalved $(B)/baobabvalve-edge \
		$(DESTDIR)$(PREFIX)/bin

clean:
	rm -rf build

-include $(shell find $(B) -name '*.d' 2>/dev/null)

.PHONY: FORCE all build-id docs tests test bench capacity demo format lint \
	lint-format lint-tidy lint-cppcheck install clean
.SECONDARY:
