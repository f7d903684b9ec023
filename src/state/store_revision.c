#include "apricot/store_revision.h"

/* Returns the revision with a number of the store's own in an era; 0 when the
   number is 0. */
int64_t
AprRevision_Make(int64_t era, int64_t number)
{
    return number == 0 ? 0 : era << APR_REVISION_BITS | number;
}

/* Returns the era of a revision; 0 if the store names none. */
int64_t
AprRevision_Era(int64_t revision)
{
    return revision >> APR_REVISION_BITS;
}

/* Returns the store's own number of a revision. */
int64_t
AprRevision_Number(int64_t revision)
{
    return revision & (((int64_t)1 << APR_REVISION_BITS) - 1);
}
