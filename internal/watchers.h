#ifndef APRICOT_INTERNAL_WATCHERS_H
#define APRICOT_INTERNAL_WATCHERS_H

#include <stdbool.h>

#include "internal/gateway.h"

/* Hosts that watch the store and pass its changes on to the others, through a
   relay in each failure domain. The lists are derived from the table of
   members and updated when that changes. */
typedef struct AprWatchers_t {
    AprMembers_t *members;
    const AprGatewaySettings_t *settings;
    int64_t members_version; /* of the table the list was computed from */
    bool includes_self;      /* this host is a watcher */
    bool self_is_relay;      /* this host is a relay; all watchers are */
    char (*sources)[APR_NAME_SIZE]; /* hosts to subscribe to, in this order */
    int source_count;
} AprWatchers_t;

void AprWatchers_Init(AprWatchers_t *watchers, AprMembers_t *members,
                      const AprGatewaySettings_t *settings);
void AprWatchers_Clear(AprWatchers_t *watchers);
bool AprWatchers_IncludesSelf(AprWatchers_t *watchers);
bool AprWatchers_IsRelay(AprWatchers_t *watchers);
const char *AprWatchers_SourceForAttempt(AprWatchers_t *watchers, int attempt);

#endif
