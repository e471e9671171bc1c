#!/usr/bin/env bash
# Plays two builds of both programs together: what they exchange and store must stay the same.
#   tests/two_builds.sh BUILD OTHER_CURLEWDOOR OTHER_SYSTEM
# BUILD: a folder with all tests built; OTHER_*: `curlewdoor` and `curlewdoor-system` of the other build.
#   - curlewdoor: the tests of upgrades and of fleets with real processes, whose processes are started from both
#     builds in turn. An upgrade goes from one build to the other, a fleet and its duties have gateways of both.
#   - curlewdoor-system: two_builds_test (tests/system/two_builds_test.cpp).
set -euo pipefail
build=$(realpath "$1") other=$(realpath "$2") other_system=$(realpath "$3")
program=$build/curlewdoor
work=$(mktemp -d)
restore() {
  mv -f "$work/curlewdoor" "$program"
  rm -rf "$work"
}
mv "$program" "$work/curlewdoor"
trap restore EXIT

# Stands in for `curlewdoor` and starts both builds in turn, the other one first.
echo 0 >"$work/started"
cat >"$program" <<END
#!/usr/bin/env bash
exec {lock}>"$work/lock"
flock "\$lock"
started=\$((\$(cat "$work/started") + 1))
echo "\$started" >"$work/started"
exec {lock}>&-
if [ \$((started % 2)) = 1 ]; then exec "$other" "\$@"; fi
exec "$work/curlewdoor" "\$@"
END
chmod +x "$program"

status=0
ctest --test-dir "$build" --output-on-failure --no-tests=error -j2 \
  -R '^(UpgradeTest|Seeds/UpgradeSeeds|Rehearsals/(Fleet|Duty)Rig.AllHeldWithRealProcesses)' || status=1
echo "processes of curlewdoor started from both builds in turn: $(cat "$work/started")"
CURLEWDOOR_OTHER_PROGRAM=$other_system ctest --test-dir "$build" --output-on-failure --no-tests=error -j2 \
  -R '^two_builds_' || status=1
exit $status
