#include <locale.h>
#include <stdio.h>

#include "internal/ctl.h"
#include "platform/config_check.h"

/* Command-line tool for operators; see docs/OPERATIONS.md. */
int
main(int argc, char **argv)
{
    setlocale(LC_ALL, "");
    return AprCtl_Run(argc, argv, stdout, stderr, &platform_ctl);
}
