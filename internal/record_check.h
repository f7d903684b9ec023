#ifndef APRICOT_INTERNAL_RECORD_CHECK_H
#define APRICOT_INTERNAL_RECORD_CHECK_H

#include "apricot/record.h"

/* Range checks that the changes of a record and its parser share. */
bool AprRecordCheck_Text(const char *text);
bool AprRecordCheck_Name(const char *name);
bool AprRecordCheck_Entry(const AprMemberEntry_t *entry);
bool AprRecordCheck_Member(const AprRecord_t *record, AprMember_t member);
bool AprRecordCheck_Service(const AprRecord_t *record, int service);
bool AprRecordCheck_Services(const AprRecord_t *record, uint32_t services);
bool AprRecordCheck_Partition(const AprServiceTable_t *table, int partition);
bool AprRecordCheck_WitnessesAreMembers(const AprRecord_t *record,
                                        const char (*witnesses)[APR_NAME_SIZE],
                                        int count);
/* Whether the whole record is consistent. */
bool AprRecordCheck_All(const AprRecord_t *record);

#endif
