# Targets: all, daemons, check, repeat, demo, matrix, bench, soak, lint, format, generate, install, clean.

VERSION = 0.1.0
V ?= 0
ifeq ($(V),0)
Q = @
endif
prefix ?= /usr/local
bindir ?= $(prefix)/bin
libdir ?= $(prefix)/lib
includedir ?= $(prefix)/include/jaycove
mandir ?= $(prefix)/share/man
DESTDIR ?=

B ?= build
CC = gcc
PKGS = libtirpc glib-2.0 jansson libsodium
CPPFLAGS += -D_GNU_SOURCE -DJC_VERSION='"$(VERSION)"' -I.
CFLAGS ?= -O2 -g
WARN = -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS))
LDLIBS := $(shell pkg-config --libs $(PKGS)) -largtable2 -lev -lhttp_parser -lm
ifeq ($(SANITIZE),1)
B = build-san
CFLAGS += -fsanitize=address,undefined -fno-omit-frame-pointer
LDFLAGS += -fsanitize=address,undefined
endif

LIB_DIRS = base schema/gen serve conf ledger member
LIB_SRC := $(foreach d,$(LIB_DIRS),$(wildcard $(d)/*.c))
NET_SRC := $(wildcard net/*.c)
PLATFORM_SRC := $(wildcard platform/*.c)
PROGS = entry state ctl load
TEST_PROGS := $(patsubst tests/%.c,$(B)/tests/%,$(wildcard tests/test-*.c tests/script-*.c tests/explore-*.c))
TEST_SUPPORT := $(filter-out tests/test-%.c tests/script-%.c tests/explore-%.c tests/standin-%.c,$(wildcard tests/*.c))
STANDINS := $(patsubst tests/%.c,$(B)/tests/%,$(wildcard tests/standin-*.c))
BINS := $(foreach p,$(PROGS),$(B)/jaycove-$(p))

obj = $(patsubst %.c,$(B)/obj/%.o,$(1))
LIB = $(B)/libjaycove.a
NETLIB = $(B)/libjcnet.a
TESTLIB = $(B)/libjctest.a
.SECONDARY:

.PHONY: all always daemons check repeat demo lint format format-check generate generate-check install clean matrix bench soak
all: $(BINS) $(STANDINS)

daemons: $(B)/jaycove-entry $(B)/jaycove-state

# The name of the build is asked for each time, and compiled in where it changed.
BUILD_NAME := $(shell sh scripts/revision.sh)
$(B)/obj/base/build.o: CPPFLAGS += -DJC_BUILD_NAME='"$(BUILD_NAME)"'
$(B)/obj/base/build.o: $(B)/build-name
$(B)/build-name: always
	@mkdir -p $(@D)
	$(Q)echo "$(BUILD_NAME)" | cmp -s - $@ || echo "$(BUILD_NAME)" >$@

$(B)/obj/schema/gen/%.o: schema/gen/%.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CPPFLAGS) $(CFLAGS) $(WARN) -Wno-unused-variable -Wno-unused-parameter $(PKG_CFLAGS) -MMD -MP -c -o $@ $<

$(B)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CPPFLAGS) $(CFLAGS) $(WARN) $(PKG_CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(call obj,$(LIB_SRC))
	@rm -f $@
	$(Q)ar rcs $@ $^

$(NETLIB): $(call obj,$(NET_SRC))
	@rm -f $@
	$(Q)ar rcs $@ $^

define prog_rule
$(B)/jaycove-$(1): $(call obj,$(wildcard $(1)/*.c)) $(call obj,$(PLATFORM_SRC)) $(NETLIB) $(LIB)
	$$(Q)$$(CC) $$(CFLAGS) $$(LDFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach p,$(PROGS),$(eval $(call prog_rule,$(p))))

$(TESTLIB): $(call obj,$(TEST_SUPPORT))
	@rm -f $@
	$(Q)ar rcs $@ $^

$(B)/tests/%: $(B)/obj/tests/%.o $(call obj,$(PLATFORM_SRC)) $(TESTLIB) $(NETLIB) $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LDLIBS)

check: all $(TEST_PROGS)
	@BUILD=$(B) sh tests/run.sh

N ?= 20
LOAD ?= 4
repeat: all
	@BUILD=$(B) sh tests/repeat.sh $(TEST) $(N) $(LOAD)

demo: all
	@BUILD=$(B) sh scripts/demo.sh

matrix: all $(TEST_PROGS)
	@BUILD=$(B) sh tests/matrix/run.sh

bench: all
	@BUILD=$(B) sh load/bench.sh

SEEDS ?= 50
FIRST ?= 1
soak: all
	@BUILD=$(B) sh tests/soak/run.sh $(FIRST) $(SEEDS) 10

OWN_SRC = $(wildcard base/*.[ch] net/*.[ch] serve/*.[ch] conf/*.[ch] ledger/*.[ch] member/*.[ch] entry/*.[ch] state/*.[ch] ctl/*.[ch] load/*.[ch] tests/*.[ch] platform/*.[ch] examples/*.c)

format:
	clang-format -i $(OWN_SRC)

format-check:
	@clang-format --dry-run -Werror $(OWN_SRC)

lint: format-check
	@scripts/lint-wire.sh
	@CFLAGS_LINT="$(PKG_CFLAGS)" scripts/lint.sh $(filter %.c,$(OWN_SRC))

generate:
	scripts/generate.py
	cd schema && rpcgen -M -h messages.x >gen/messages.h && rpcgen -M -c messages.x >gen/messages_xdr.c
	sed -i 's|^#include "messages.h"|#include "schema/gen/messages.h"|' schema/gen/messages_xdr.c

generate-check: generate
	git diff --exit-code -- schema/gen docs/SETTINGS.md

install: all
	install -d $(DESTDIR)$(bindir) $(DESTDIR)$(libdir)/pkgconfig $(DESTDIR)$(mandir)/man1
	install -m 755 $(BINS) $(DESTDIR)$(bindir)
	install -m 644 $(LIB) $(DESTDIR)$(libdir)
	for d in $(LIB_DIRS); do install -d $(DESTDIR)$(includedir)/$$d && for h in $$d/*.h; do [ ! -e $$h ] || install -m 644 $$h $(DESTDIR)$(includedir)/$$d; done; done
	install -m 644 man/*.1 $(DESTDIR)$(mandir)/man1
	sed 's|@prefix@|$(prefix)|;s|@libdir@|$(libdir)|;s|@includedir@|$(includedir)|;s|@version@|$(VERSION)|' scripts/jaycove.pc.in >$(DESTDIR)$(libdir)/pkgconfig/jaycove.pc

clean:
	rm -rf $(B)

-include $(shell find $(B)/obj -name '*.d' 2>/dev/null)
