#!/usr/bin/env bash
# Compares the output and exit codes of the commands with the expected text;
# with BLESS set, the output first replaces the expected text.
PLATFORM=${PLATFORM:-18000}
. "$(dirname "$0")/lib.sh"
setup
cd "$RUN" || exit 1
settings 1 > good.yaml
printf 'host: e 1\nzone: z\naddr: here\nweight: 3\nshards: 0\n' > bad.yaml
cp "$ROOT/examples/classes.yaml" classes.yaml
printf 'classes:\n  watch:\n    kind: batch\n    share: 0%%\n    weight: 2\n' > badc.yaml
sed 's/share: 60%/share: 55%/' classes.yaml > changed.yaml

say() { # runs a command, prints it, its output and its exit code
	echo "\$ $*"
	"$@" 2>&1 | sed -e 's/[0-9]\{4\}-[0-9-]*T[0-9:]*Z/TIME/' \
	    -e 's/"[a-z]*_ms": [0-9]*/"ms": N/'
	echo "exit ${PIPESTATUS[0]}"
}
celerycartd() { "$BIN/celerycartd" "$@"; }
celerycartctl() {
	USER=clerk "$BIN/celerycartctl" --host "$(addr 1):$((PLATFORM + 11))" \
	    --caller "$(addr 1):$((PLATFORM + 10))" --key "$KEY" "$@"
}
transcript() {
	say celerycartd --version
	say celerycartd
	say celerycartd --check -c good.yaml
	say celerycartd --check -c bad.yaml
	say celerycartd --check -c missing.yaml
	say celerycartctl nonsense
	say celerycartctl cell nonsense
	say celerycartctl submit --help
	say celerycartctl config check classes.yaml
	say celerycartctl config check badc.yaml
	say celerycartctl config
	say celerycartctl --host localhost:1 status
	say celerycartctl config get
	say celerycartctl config diff changed.yaml
	say celerycartctl config apply changed.yaml --seen 0
	say celerycartctl config apply changed.yaml
	say celerycartctl config diff changed.yaml
	say celerycartctl config history
	say celerycartctl submit cure --id t-1 --cpus 1 --memory-mb 10 --run 100ms
	say celerycartctl get t-1 --wait 5s
	say celerycartctl submit cure --id t-1 --cpus 2 --memory-mb 10 --run 100ms
	say celerycartctl submit cure --id t-2 --cpus 999 --memory-mb 10 --run 1s
	say celerycartctl get t-2 --wait 5s
	say celerycartctl submit cure --cpus 0 --memory-mb 10 --run 1s
	say celerycartctl submit cure --cpus 1 --memory-mb 10 --run soon
	say celerycartctl submit nosuch --cpus 1 --memory-mb 10 --run 1s
	say celerycartctl cancel t-9
	say celerycartctl hosts
	say celerycartctl tasks --class cure --state ended
	say celerycartctl histogram nosuch
	say "$BIN/celerycartctl" --host "$(addr 9):9" --host "$(addr 1):$((PLATFORM + 11))" --key "$KEY" status
	say "$BIN/celerycartctl" --host "$(addr 1):$((PLATFORM + 11))" --key wrong-key-entirely status
}
start_cluster 1 || exit 1
transcript 2>&1 | sed -e "s|$BIN/||g" -e "s|:$((PLATFORM + 11))|:18011|g" \
    > "$RUN/cli.out"
same() { diff "$ROOT/tests/expected/cli.out" "$RUN/cli.out"; }
[ -n "${BLESS:-}" ] && cp "$RUN/cli.out" "$ROOT/tests/expected/cli.out"
check "output and exit codes of the commands are as expected" same
finish
