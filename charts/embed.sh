#!/bin/sh
# Prints charts/builtin.c: every chart of this folder as a C string. Run as
# "charts/embed.sh >charts/builtin.c" after a chart was edited.

cd "$(dirname "$0")" || exit 1
echo '/* Made by charts/embed.sh from the INI files beside it. */'
echo '#include "charts/builtin.h"'
echo
echo '/* clang-format off */'
for f in *.ini
do
	echo
	echo "const char builtin_${f%.ini}_chart[] ="
	sed -e '/^#/d' -e 's/["\\]/\\&/g' -e 's/.*/	"&\\n"/' "$f" |
		sed -e '$s/$/;/'
done
