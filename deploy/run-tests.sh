#!/usr/bin/env bash
# Runs the tests of the module in this folder with the race detector. Those that KNOWN-RED.txt names are run apart, their
# outcome is printed and passed over. Each line of it reads "./PACKAGE Test | cause | issue"; a fourth line, one that reads
# otherwise, and a name that no test has, fail.
set -euo pipefail
file=KNOWN-RED.txt
fail() {
    echo "$file: $*" >&2
    exit 1
}
declare -A red=()
if [ -e "$file" ]; then
    [ "$(grep -c '' "$file")" -le 3 ] || fail "more than three lines"
    while IFS= read -r line || [ -n "$line" ]; do
        [[ $line =~ ^(\./[A-Za-z0-9_/-]+)\ (Test[A-Za-z0-9_]+)\ \|\ ([^|]*[^| ])\ \|\ [^|]*[^|\ ]$ ]] || fail "not a line of it: $line"
        package=${BASH_REMATCH[1]} name=${BASH_REMATCH[2]} cause=${BASH_REMATCH[3]}
        go test -list "^$name\$" "$package" | grep -x "$name" >/dev/null || fail "$package has no $name"
        outcome=passes
        go test -race -count=1 -run "^$name\$" "$package" || outcome=fails
        echo "known red: $package $name $outcome ($cause)"
        red[$(go list "$package")]+="${red[$(go list "$package")]:+|}$name"
    done <"$file"
fi
rest=()
while read -r package; do
    [ -n "${red[$package]:-}" ] || rest+=("$package")
done < <(go list ./...)
[ ${#rest[@]} -eq 0 ] || go test -race -count=1 "${rest[@]}"
for package in "${!red[@]}"; do
    go test -race -count=1 -skip "^(${red[$package]})\$" "$package"
done
