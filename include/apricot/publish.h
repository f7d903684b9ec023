#ifndef APRICOT_PUBLISH_H
#define APRICOT_PUBLISH_H

#include <stdint.h>

#include "apricot/service_config.h"
#include "apricot/store.h"

/* Result of publishing one service. */
typedef struct AprPublishResult_t {
    uint64_t generation; /* generation at which it is in effect */
    bool unchanged;      /* the store already had the same content */
    bool conflict;       /* another publisher changed the service first */
    char winner[APR_NAME_SIZE * 2]; /* user@host of that publisher */
    int64_t winner_at_ms;
    uint64_t winner_generation;
} AprPublishResult_t;

/* Publishes the configuration of one service with a compare-and-swap of its
   key and the generation. `based_on` is the generation that the operator last
   saw, or 0 for the one at the start of the call. */
int AprPublish_Service(AprStore_t *store, const char *prefix,
                       const AprServiceConfig_t *config, uint64_t based_on,
                       AprPublishResult_t *result, AprError_t *error);
/* Reads all published services; *configs is allocated with malloc. Returns
   their number or an error. */
int AprPublish_ListServices(AprStore_t *store, const char *prefix,
                            AprServiceConfig_t **configs, uint64_t *generation,
                            AprError_t *error);

#endif
