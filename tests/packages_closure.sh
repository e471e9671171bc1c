#!/usr/bin/env bash
# All that a build has opened comes from the packages that a deploy file promises:
#   tests/packages_closure.sh BUILD [DEPLOY-FILE]
# BUILD is a finished build directory of CMake's Makefiles, by g++. Looked at: the headers that the compiler read (its
# dependency files), CMake's own modules and packages' configurations, all that the linker opened (played again
# with --trace), and the tools. Each file outside the source and the build must belong to a Debian package that is
# listed under `packages`, that one of these depends on, or that is essential on every machine. Exit code 1: some
# doesn't; each such package is named with one of its files.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
deploy=${2:-$root/deploy/system.toml}
place=$(mktemp -d)
trap 'rm -rf "$place"' EXIT

[ -e "$build/CMakeCache.txt" ] || { echo "$build: not a build" >&2; exit 1; }

cached() { sed -n "s/^$1:[A-Z]*=//p" "$build/CMakeCache.txt"; }
source_dir=$(cached CMAKE_HOME_DIRECTORY)

# A compiler cache writes paths below its base folder as seen from the build.
headers() {
  find "$build" -name '*.o.d' -exec cat {} + | tr -d '\\' | tr ' ' '\n' | grep -v ':$' | sed '/^$/d' |
    sed "s#^\([^/]\)#$build/\1#"
}

modules() {  # those without a folder are CMake's own, in the build
  find "$build" -name Makefile.cmake \
    -exec sed -n '/^set(CMAKE_MAKEFILE_DEPENDS/,/^  )/s#^  "\(/.*\)"$#\1#p' {} +
}

# Links each program that is there once more, to nowhere; the linker says what it opens.
linked() {
  local script folder program
  while IFS= read -r script; do
    folder=${script%/CMakeFiles/*}
    program=$(sed -n 's/.* -o \([^ ]*\) .*/\1/p' "$script")
    [ -n "$program" ] && [ -e "$folder/$program" ] || continue
    (cd "$folder" && sh -c "$(sed 's/ -o [^ ]* / -o \/dev\/null -Wl,--trace /' "$script")") >"$place/trace"
    sed -E 's/^\(([^)]*)\).*/\1/; s/\(.*\)$//' "$place/trace" | sed "s#^\([^/]\)#$folder/\1#"
  done < <(find "$build" -name link.txt)
}

tools() {
  local name compiler
  compiler=$(cached CMAKE_CXX_COMPILER)
  for name in CMAKE_COMMAND CMAKE_MAKE_PROGRAM CMAKE_CXX_COMPILER CMAKE_AR CMAKE_RANLIB CMAKE_LINKER; do cached "$name"; done
  for name in cc1plus as ld collect2; do command -v "$("$compiler" -print-prog-name="$name")"; done
  command -v sh
}

# The name as it was opened and what it leads to: a link and its file may be of two packages.
with_targets() {
  local file
  while IFS= read -r file; do
    realpath -ms "$file"
    realpath -m "$file"
  done | sort -u | grep -v -e "^$(realpath "$source_dir")/" -e "^$(realpath "$build")/" -e "^/etc/alternatives/" || true
}

{ headers; modules; linked; tools; } | sort -u | with_targets >"$place/files"
[ "$(wc -l <"$place/files")" -ge 20 ] || { echo "$build: not a finished build" >&2; exit 1; }

# FILE PACKAGE; "-" for a file of none. /lib, /bin and /sbin are links to /usr's, and dpkg knows some files by these.
dpkg-query --search $(sed 'p; s#^/usr/\(bin\|lib\|sbin\)#/\1#' "$place/files" | sort -u) 2>/dev/null |
  sed -n '/^diversion /d; s#^\([^:, ]*\).*: \(/.*\)$#\2 \1#p' | sed -E 's#^/(bin|lib|sbin)#/usr/\1#' | sort -u >"$place/owned" || true
awk 'NR == FNR { owner[$1] = $2; next }
     { name = $1; sub("^/(bin|lib|sbin)/", "/usr&", name); print $1, name in owner ? owner[name] : "-" }' \
  "$place/owned" "$place/files" >"$place/owners"
# A link that no package owns, such as one of the machine's alternatives, is judged by what it leads to.
while read -r file package; do
  [ "$package" = "-" ] && [ -L "$file" ] || echo "$file $package"
done <"$place/owners" >"$place/judged"

promised=$(sed -n 's/^packages = \[\(.*\)\].*/\1/p' "$deploy" | tr -d '",')
[ -n "$promised" ] || { echo "$deploy: no packages" >&2; exit 1; }

# All that is installed with the promised ones: dependencies, of alternatives the first that is installed.
dpkg-query -W -f '${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n' |
  awk -F '\t' -v promised="$promised" '
    function bare(name) { gsub(/[ \t]|\(.*\)|:any$|:native$|\[.*\]/, "", name); return name }
    function add(name) { if (name != "" && !(name in seen)) { seen[name]; queue[++last] = name } }
    {
      depends[$1] = depends[$1] ", " $3
      if ($2 == "yes") essential[$1]
      count = split($4, names, ",")
      for (i = 1; i <= count; ++i) providers[bare(names[i])] = providers[bare(names[i])] " " $1
    }
    END {
      count = split(promised, names, " ")
      for (i = 1; i <= count; ++i) {
        if (names[i] in depends) add(names[i])
        else { print names[i] ": not installed" > "/dev/stderr"; exit 1 }
      }
      for (name in essential) add(name)
      for (first = 1; first <= last; ++first) {
        clauses = split(depends[queue[first]], clause, ",")
        for (c = 1; c <= clauses; ++c) {
          choices = split(clause[c], choice, "|")
          for (k = 1; k <= choices; ++k) {
            name = bare(choice[k])
            if (name in depends) { add(name); break }
            if (name in providers) {
              many = split(providers[name], provider, " ")
              for (p = 1; p <= many; ++p) add(provider[p])
              break
            }
          }
        }
      }
      for (name in seen) print name
    }' | sort -u >"$place/closure"

awk 'NR == FNR { within[$1]; next }
     !($2 in within) { if (!($2 in files)) first[$2] = $1; ++files[$2] }
     END {
       for (name in files) {
         printf "%s: %d files, such as %s\n", name == "-" ? "of no package" : name, files[name], first[name]
         bad = 1
       }
       exit bad
     }' "$place/closure" "$place/judged" >"$place/outside" || {
  echo "$deploy: the build opens what its packages don't bring:" >&2
  sort "$place/outside" >&2
  exit 1
}
echo "$(wc -l <"$place/judged") files of $(cut -d ' ' -f 2 "$place/judged" | sort -u | wc -l) packages," \
  "all brought by the $(wc -w <<<"$promised") promised"
