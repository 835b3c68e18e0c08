#!/usr/bin/env bash
# Exit code 0: the rule held; 1: it was broken; 2: the case couldn't run.
# TROUBLE=0: the same without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/bin/ridgeferry-entry ] && [ -x review/bin/LastTenant ] || exit 2
files=$(mktemp -d) || exit 2
trap 'rm -rf "$files"' EXIT
TMPDIR=$files timeout 115 review/bin/LastTenant "$here/record.txt"
code=$?
[ $code -le 1 ] && exit $code
exit 2
