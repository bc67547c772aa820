#!/bin/sh
# Checks that charts/builtin.c is up to date with the INI files beside it.

if ! charts/embed.sh | cmp - charts/builtin.c
then
	echo "FAILED: run charts/embed.sh >charts/builtin.c"
	exit 1
fi
echo ok
