#!/bin/sh
# charts/builtin.c is what charts/embed.sh makes of the INI files.

if ! charts/embed.sh | cmp - charts/builtin.c
then
	echo "FAILED: run charts/embed.sh >charts/builtin.c"
	exit 1
fi
echo ok
