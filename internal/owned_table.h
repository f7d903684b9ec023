#ifndef APRICOT_INTERNAL_OWNED_TABLE_H
#define APRICOT_INTERNAL_OWNED_TABLE_H

#include "internal/core.h"

#define APR_NO_OWNED_REQUEST UINT32_MAX

/* Table of the requests at the owner of their key. The slots don't move in
   memory when the table grows, so pointers to them stay valid. */
uint32_t AprOwnedTable_Allocate(AprCore_t *core, uint32_t limit);
AprOwnedRequest_t *AprOwnedTable_Get(const AprCore_t *core, uint32_t handle);
void AprOwnedTable_Release(AprCore_t *core, uint32_t handle);

#endif
