# cardamomusher
#   make demo     installs what it needs, builds, runs both users' days
#   make check    installs what it needs, builds, lints, runs every test
#   make bench    the policy figures; make spec: the model checker
CC	= gcc
CSTD	= -std=gnu11
WARN	= -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	  -Wpointer-arith -Wwrite-strings -Werror
OPT	= -O2 -g
PKGS	= liburcu-bp liburcu-cds libprotobuf-c libmicrohttpd libcurl neon \
	  jansson yajl libcyaml libxxhash libsodium
CPPFLAGS = -D_GNU_SOURCE -Isrc -Iproto -Iplatform -Itest -Istandin -Itest/fault \
	  $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LDLIBS	= $(shell pkg-config --libs $(PKGS) 2>/dev/null) -llog4c -lhttp_parser -lm -lpthread
CFLAGS	= $(CSTD) $(WARN) $(OPT) $(SAN) -pthread -MMD -MP
LDFLAGS	= $(SAN) -pthread
B	= build$(VARIANT)

# One module a pair x.c, x.h; daemon.c holds main() of the daemon.
LIBSRC	= $(filter-out src/daemon.c,$(wildcard src/*.c)) proto/peer.pb-c.c
PFSRC	= $(filter-out platform/main.c,$(wildcard platform/*.c))
CTLSRC	= $(wildcard ctl/*.c)
LOADSRC	= $(wildcard load/*.c)
SIMSRC	= $(filter-out bench/policy.c bench/cost.c,$(wildcard bench/*.c))
STANDINS = platform engine service wire
STANDCOM = $(filter-out $(STANDINS:%=standin/%.c),$(wildcard standin/*.c))
TESTS	= $(patsubst test/%.c,%,$(wildcard test/test_*.c))
FAULTS	= $(patsubst test/fault/%.c,%,$(wildcard test/fault/fault_*.c))

LIB	= $(B)/libmusher.a
PROGS	= $(B)/cardamomusher $(if $(wildcard src/daemon.c),$(B)/cardamomusherd) \
	  $(if $(CTLSRC),$(B)/musherctl) $(if $(LOADSRC),$(B)/musherload) \
	  $(foreach s,$(STANDINS),$(if $(wildcard standin/$(s).c),$(B)/standin-$(s))) \
	  $(if $(wildcard bench/policy.c),$(B)/policy) \
	  $(if $(wildcard bench/cost.c),$(B)/cost)

all: $(PROGS) $(TESTS:%=$(B)/%) $(FAULTS:%=$(B)/%)

obj	= $(patsubst %.c,$(B)/%.o,$(1))

$(B)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(if $(filter proto/%,$<),-Wno-all) -c -o $@ $<

$(LIB): $(call obj,$(LIBSRC))
	@rm -f $@
	ar rcs $@ $^

$(B)/cardamomusherd: $(B)/src/daemon.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/cardamomusher: $(B)/platform/main.o $(call obj,$(PFSRC)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/musherctl: $(call obj,$(CTLSRC)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/musherload: $(call obj,$(LOADSRC)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/standin-%: $(B)/standin/%.o $(call obj,$(STANDCOM)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/policy: $(B)/bench/policy.o $(call obj,$(SIMSRC)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/cost: $(B)/bench/cost.o $(call obj,$(SIMSRC)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
$(B)/test_%: $(B)/test/test_%.o $(call obj,$(SIMSRC)) $(call obj,$(PFSRC)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lcmocka $(LDLIBS)
$(B)/test_standin $(B)/test_standin_engine: $(call obj,$(wildcard test/fault/proc*.c))
$(B)/fault_%: $(B)/test/fault/fault_%.o $(call obj,$(wildcard test/fault/proc*.c)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lcmocka $(LDLIBS)

# What deploy/system.toml builds: the daemon on the users' platform.
platform:
	$(MAKE) B=target target/cardamomusher

$(B)/soak: $(call obj,$(wildcard test/soak/*.c)) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)
# make soak SEED=7 SECONDS=30; without SEED, the seeds kept in seeds.txt
soak: $(B)/soak $(B)/cardamomusher
	@./test/soak/run "$(SEED)" "$(SECONDS)"

.SECONDARY:
.PHONY: platform soak all clean check demo deps fmt lint unit asan tsan fault bench spec fuzz

DEPS	= build-essential pkg-config liburcu-dev libprotobuf-c-dev \
	  libmicrohttpd-dev libhttp-parser-dev libcurl4-openssl-dev libneon27-dev liblog4c-dev \
	  libcmocka-dev \
	  libcyaml-dev libjansson-dev libyajl-dev libxxhash-dev libsodium-dev spin \
	  gnuplot-nox libclang-rt-14-dev clang clang-format clang-tidy cppcheck \
	  valgrind curl jq
deps:
	@./tools/deps $(DEPS)

CSOURCES = $(wildcard src/*.[ch] platform/*.[ch] ctl/*.[ch] standin/*.[ch] load/*.[ch] \
	  bench/*.[ch] test/*.[ch] test/fault/*.[ch] test/soak/*.[ch] fuzz/*.[ch])
fmt:
	clang-format -i $(CSOURCES)

# One file a clang-tidy run: version 14 reports va_list faults falsely on the
# second file of a run.
lint:
	clang-format --dry-run -Werror $(CSOURCES)
	cppcheck -q --std=c11 --error-exitcode=1 --inline-suppr -j 4 \
	    --enable=warning,portability --suppress=missingIncludeSystem \
	    --include=tools/lint.h -Isrc -Iproto -Istandin -Itest/fault \
	    $(filter %.c,$(CSOURCES))
	printf '%s\n' $(filter %.c,$(CSOURCES)) | xargs -P 6 -n 1 sh -c \
	    'clang-tidy --quiet "$$@" -- $(CPPFLAGS) $(CSTD) 2>/dev/null' lint

unit: all
	@./tools/runtests $(TESTS:%=$(B)/%)
asan:
	$(MAKE) VARIANT=-asan OPT="-O1 -g" \
	    SAN="-fsanitize=address,undefined -fno-sanitize-recover=all" unit
TSANTESTS = $(filter test_peer test_http test_journal test_slots test_stream,$(TESTS))
tsan:
	$(MAKE) VARIANT=-tsan OPT="-O1 -g" SAN="-fsanitize=thread" \
	    $(TSANTESTS:%=build-tsan/%)
	@TSAN_OPTIONS=suppressions=tools/tsan.supp ./tools/runtests \
	    $(TSANTESTS:%=build-tsan/%)
fault: all
	@./tools/runtests $(FAULTS:%=$(B)/%)
spec:
	@./spec/run
bench: all
	@./bench/run
fuzz:
	@./fuzz/run
demo: deps all
	@./tools/demo
check: deps
	@./tools/check

clean:
	rm -rf build build-asan build-tsan target

-include $(shell find build* target -name '*.d' 2>/dev/null)
