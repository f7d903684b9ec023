#ifndef APRICOT_STORE_REVISION_H
#define APRICOT_STORE_REVISION_H

#include <stdint.h>

/* A revision as used outside the store's client. Its upper bits hold the era
   of the store, which rises each time when the store comes back from an older
   copy, and its lower bits the store's own revision. Integer comparison thus
   orders by era, then by revision. 0 stands for no revision in any era. */

/* Bits for the store's own revision. At 10,000 changes a second they last for
   three years. */
#define APR_REVISION_BITS 40

#define APR_ERA_MAX (((int64_t)1 << (62 - APR_REVISION_BITS)) - 1)

int64_t AprRevision_Make(int64_t era, int64_t number);
int64_t AprRevision_Era(int64_t revision);
int64_t AprRevision_Number(int64_t revision);

#endif
