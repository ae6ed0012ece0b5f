#!/bin/sh
exec sh "$(dirname "$0")/../run_case.sh" "$(dirname "$0")"
