#!/usr/bin/env bash
# Runs the tests of the module in the current folder with the race detector. The tests that KNOWN-RED.txt names run
# separately; their outcome is printed and does not decide the result. All other tests run and have to pass. The file may
# be absent. Each of its lines reads
#     ./PACKAGE Test | command | seed | what was seen | issue
# where command shows the failure, seed is the seed or "none", and issue names an open issue. No part may be empty or
# contain "|". The script fails if the file has a line of another form, or a test that does not exist.
set -euo pipefail
file=KNOWN-RED.txt
fail() {
    echo "$file: $*" >&2
    exit 1
}
part='([^|[:space:]]([^|]*[^|[:space:]])?)' # two groups; not empty, no space at either end
form="^(\./[A-Za-z0-9_/-]+) (Test[A-Za-z0-9_]+) \| $part \| $part \| $part \| $part\$"
declare -A red=()
if [ -e "$file" ]; then
    while IFS= read -r line || [ -n "$line" ]; do
        [[ $line =~ $form ]] || fail "expected \"./PACKAGE Test | command | seed | what was seen | issue\", got: $line"
        package=${BASH_REMATCH[1]} name=${BASH_REMATCH[2]} seen=${BASH_REMATCH[7]} issue=${BASH_REMATCH[9]}
        go test -list "^$name\$" "$package" | grep -x "$name" >/dev/null || fail "$package has no $name"
        outcome=passes
        go test -race -count=1 -run "^$name\$" "$package" || outcome=fails
        echo "known red: $package $name $outcome ($seen; $issue)"
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
