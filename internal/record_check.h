#ifndef APRICOT_INTERNAL_RECORD_CHECK_H
#define APRICOT_INTERNAL_RECORD_CHECK_H

#include "apricot/record.h"

/* Validity checks shared by the functions that change a record and by its
   parser. */
bool AprRecordCheck_IsText(const char *text);
bool AprRecordCheck_IsName(const char *name);
bool AprRecordCheck_IsValidEntry(const AprMemberEntry_t *entry);
bool AprRecordCheck_IsMember(const AprRecord_t *record, AprMember_t member);
bool AprRecordCheck_IsService(const AprRecord_t *record, int service);
bool AprRecordCheck_AreServices(const AprRecord_t *record, uint32_t services);
bool AprRecordCheck_IsPartition(const AprServiceTable_t *table, int partition);
bool AprRecordCheck_AreMembers(const AprRecord_t *record,
                               const char (*witnesses)[APR_NAME_SIZE],
                               int count);
bool AprRecordCheck_IsConsistent(const AprRecord_t *record);

#endif
