#ifndef APRICOT_INTERNAL_WATCHERS_H
#define APRICOT_INTERNAL_WATCHERS_H

#include <stdbool.h>

#include "internal/gateway.h"

/* Which hosts watch the store for the others. Kept up to date with the table
   of members. */
typedef struct AprWatchers_t {
    AprMembers_t *members;
    const AprGatewaySettings_t *settings;
    int64_t version; /* of the table, for which the rest was worked out */
    bool own;        /* this host is one of them */
    char (*names)[APR_NAME_SIZE];
    int count;
} AprWatchers_t;

void AprWatchers_Init(AprWatchers_t *watchers, AprMembers_t *members,
                      const AprGatewaySettings_t *settings);
void AprWatchers_Clear(AprWatchers_t *watchers);
bool AprWatchers_IsOwn(AprWatchers_t *watchers);
const char *AprWatchers_At(AprWatchers_t *watchers, int attempt);

#endif
