#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
program=poison_copies
source "$here/../run-case.sh"
