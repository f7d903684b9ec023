#ifndef APRICOT_INTERNAL_OWNED_TABLE_H
#define APRICOT_INTERNAL_OWNED_TABLE_H

#include "internal/core.h"

#define APR_NO_OWNED UINT32_MAX

/* Table of the requests at their owner. Entries do not move while the table
   grows, so that pointers stay valid across calls. */
uint32_t AprOwnedTable_New(AprCore_t *core, uint32_t limit);
AprOwnedRequest_t *AprOwnedTable_Get(const AprCore_t *core, uint32_t handle);
void AprOwnedTable_Free(AprCore_t *core, uint32_t handle);

#endif
