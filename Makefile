# make demo   builds, starts stand-ins and daemons, shows every outcome
# make check  builds and runs all tests; ends with "N passed, N failed"
# make bench  measures; one name=value a line
# make lint   formatter and linters
# make deps   installs the packages

CC = gcc
CXX = g++
CFLAGS = -std=gnu11 -O2 -g -Wall -Wextra -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wno-missing-field-initializers -D_GNU_SOURCE $(SAN)
CXXFLAGS = -std=gnu++17 -O2 -g -Wall -D_GNU_SOURCE -Wno-missing-field-initializers
SAN =
LIBS = $(SAN) -levhtp -levent -levent_openssl -lprotobuf-c -lyaml -ljansson \
	-largtable2 -llog4c -lxxhash -lssl -lcrypto -lm
B = build

BASE = $(wildcard src/base/*.c) src/sys/clock_linux.c
STATE = $(wildcard src/state/*.c)
COORD = $(wildcard src/coordination/*.c)
PROTO = $(wildcard src/protocol/*.c)
TRANS = $(wildcard src/transport/*.c)
RELAY = $(wildcard src/relay/*.c)
CELL = $(RELAY) $(wildcard src/cell/*.c) $(wildcard src/member/*.c)
ADAPTER = $(wildcard platform/*.c)
DAEMON = $(wildcard src/daemon/*.c)
CTL = $(wildcard src/ctl/*.c)
LIBSRC = $(BASE) $(STATE) $(COORD) $(PROTO) $(TRANS) $(CELL)

LIBOBJ = $(LIBSRC:%.c=$(B)/%.o)
DAEMONOBJ = $(DAEMON:%.c=$(B)/%.o) $(ADAPTER:%.c=$(B)/%.o)
CTLOBJ = $(CTL:%.c=$(B)/%.o)

PACKAGES = gcc g++ make curl jq clang-format clang-tidy cppcheck libevent-dev \
	libevhtp-dev libprotobuf-c-dev libargtable2-dev liblog4c-dev \
	libcunit1-dev librapidcheck-dev libyaml-dev libjansson-dev \
	libxxhash-dev libssl-dev uthash-dev libbsd-dev

all: $(B)/celerycartd $(B)/celerycartctl $(B)/standin $(B)/caller \
    $(B)/checker $(B)/cellstandin $(B)/soak $(B)/run_checker $(B)/cell_caller \
    $(B)/load_caller

$(B)/celerycartd: $(DAEMONOBJ) $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

$(B)/celerycartctl: $(CTLOBJ) $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

$(B)/libcc.a: $(LIBOBJ)
	rm -f $@
	ar rcs $@ $^

STANDIN = $(wildcard tests/standin/*.c)
$(B)/standin: $(STANDIN:%.c=$(B)/%.o) $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

CELLSTANDIN = $(wildcard tests/cellstandin/*.c)
$(B)/cellstandin: $(CELLSTANDIN:%.c=$(B)/%.o) $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

SOAK = $(wildcard tests/soak/*.c)
$(B)/soak: $(SOAK:%.c=$(B)/%.o) $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

$(B)/caller: $(B)/tests/tools/caller.o $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

$(B)/checker: $(B)/tests/tools/checker.o $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

$(B)/run_checker: $(B)/tests/tools/run_checker.o $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

$(B)/cell_caller: $(B)/tests/tools/cell_caller.o $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

$(B)/load_caller: $(B)/tests/tools/load_caller.o $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

WORLD = $(patsubst %.c,$(B)/%.o,$(wildcard tests/world/*.c))
$(B)/unit: $(patsubst %.c,$(B)/%.o,$(wildcard tests/unit/*.c)) \
    $(WORLD) $(B)/platform/registry.o \
    $(B)/platform/config_row.o $(B)/platform/submission.o $(B)/platform/wire.o \
    $(B)/platform/runner_api.o $(B)/libcc.a
	$(CC) -o $@ $^ -lcunit $(LIBS)

$(B)/prop: $(patsubst %.cc,$(B)/%.o,$(wildcard tests/prop/*.cc)) \
    $(WORLD) $(B)/libcc.a
	$(CXX) -o $@ $^ -lrapidcheck $(LIBS)

$(B)/fuzz: $(patsubst %.c,$(B)/%.o,$(wildcard tests/fuzz/*.c)) \
    $(ADAPTER:%.c=$(B)/%.o) $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

$(B)/bench-place: $(patsubst %.c,$(B)/%.o,$(wildcard bench/*.c)) $(B)/libcc.a
	$(CC) -o $@ $^ $(LIBS)

$(B)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(B)/%.o: %.cc
	@mkdir -p $(dir $@)
	$(CXX) $(CXXFLAGS) -MMD -MP -c -o $@ $<

-include $(shell find $(B) -name '*.d' 2>/dev/null)

# Built as the review's scripts build it, which use the store of the stand-in.
$(B)/review-standin: review/standin/main.c review/standin/runner.c \
    tests/cellstandin/store_sim.c tests/cellstandin/standin.h \
    tests/cellstandin/held.h src/base/xalloc.c
	@mkdir -p $(dir $@)
	$(CC) -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -o $@ \
	    $(filter %.c,$^) -levent -ljansson -lcrypto

.PHONY: all deps demo check bench lint format proto clean

deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -q && \
	    apt-get install -q -y --no-install-recommends $(PACKAGES); }

demo: deps
	@$(MAKE) -s all
	@tests/scripts/demo.sh

SANITIZERS = -fsanitize=address,undefined,float-cast-overflow \
	-fno-sanitize-recover=undefined -fno-omit-frame-pointer

check: deps
	@$(MAKE) -s all $(B)/unit $(B)/prop $(B)/bench-place $(B)/review-standin
	@$(MAKE) -s B=$(B)/san SAN="$(SANITIZERS)" $(B)/san/celerycartd \
	    $(B)/san/unit $(B)/san/fuzz
	@tests/scripts/run-all.sh

bench: deps
	@$(MAKE) -s all $(B)/bench-place
	@tests/scripts/bench.sh

OWN = $(filter-out %.pb-c.c,$(LIBSRC)) $(DAEMON) $(ADAPTER) $(CTL) $(STANDIN) \
	$(CELLSTANDIN) $(SOAK) \
	$(wildcard tests/tools/*.c tests/unit/*.c tests/world/*.c \
	tests/fuzz/*.c bench/*.c)
HEADERS = $(filter-out %.pb-c.h,$(wildcard src/*/*.h platform/*.h tests/*/*.h))

format:
	@clang-format -i $(OWN) $(HEADERS) $(wildcard tests/prop/*.cc)

lint:
	@clang-format --dry-run --Werror $(OWN) $(HEADERS) $(wildcard tests/prop/*.cc)
	@cppcheck -q -j 4 --error-exitcode=1 --enable=warning,portability \
	    --suppressions-list=.cppcheck-suppress -D_GNU_SOURCE $(OWN)
	@echo lint clean

proto:
	cd src/protocol && protoc-c --c_out=. peer.proto

clean:
	rm -rf $(B)
