#!/bin/sh
exec "$(dirname "$0")/../support-2/run-case.sh" ManySteps "$(cd "$(dirname "$0")" && pwd)"
