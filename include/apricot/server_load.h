#ifndef APRICOT_SERVER_LOAD_H
#define APRICOT_SERVER_LOAD_H

#include <stdbool.h>

/* Load that a backend server reports in its responses. */
typedef struct AprServerLoad_t {
    bool known;
    int running; /* requests */
    int waiting; /* requests */
    int slots;   /* requests that can run at the same time */
    int pace;    /* 100: work takes as long as usual, 300: three times as long;
                    0: not reported */
} AprServerLoad_t;

bool AprServerLoad_Parse(const char *text, AprServerLoad_t *load);

#endif
