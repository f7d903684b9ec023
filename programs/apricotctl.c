#include <locale.h>
#include <stdio.h>

#include "internal/ctl.h"

/* Command-line tool for operators; see docs/OPERATIONS.md. */
int
main(int argc, char **argv)
{
    setlocale(LC_ALL, "");
    return AprCtl_Run(argc, argv, stdout, stderr);
}
