#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
program=dedicated
source "$here/../run-case.sh"
