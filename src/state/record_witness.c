#include "apricot/record.h"

#include <stdio.h>
#include <string.h>

/* Preference of a candidate, smaller is better. */
enum {
    CLASS_NEW_DOMAIN,    /* another domain that no chosen witness is in */
    CLASS_OWN_DOMAIN,    /* the first one in the member's own domain */
    CLASS_SECOND_DOMAIN, /* another domain once more */
    CLASS_LAST,          /* a second one in the own domain */
    CLASS_COUNT
};

static bool
is_chosen(const AprMember_t *chosen, int count, AprMember_t candidate)
{
    for (int i = 0; i < count; i++) {
        if (chosen[i] == candidate) {
            return true;
        }
    }
    return false;
}

static bool
same_domain(const AprMemberEntry_t *left, const AprMemberEntry_t *right)
{
    return strcmp(left->failure_domain, right->failure_domain) == 0;
}

static int
class_of(const AprRecord_t *record, AprMember_t member,
         const AprMember_t *chosen, int count, AprMember_t candidate)
{
    const AprMemberEntry_t *entry = &record->members[candidate];
    bool own = same_domain(entry, &record->members[member]);
    bool taken = false;

    for (int i = 0; i < count; i++) {
        taken = taken || same_domain(entry, &record->members[chosen[i]]);
    }
    if (own) {
        return taken ? CLASS_LAST : CLASS_OWN_DOMAIN;
    }
    return taken ? CLASS_SECOND_DOMAIN : CLASS_NEW_DOMAIN;
}

static bool
is_witness_now(const AprMemberEntry_t *member, const char *host)
{
    for (int i = 0; i < member->witness_count; i++) {
        if (strcmp(member->witnesses[i], host) == 0) {
            return true;
        }
    }
    return false;
}

/* Rank of a candidate. Draining members come last because they leave soon;
   within a class present witnesses are kept, so that a joining host does not
   change the lists of all others. */
static int
rank_of(const AprRecord_t *record, AprMember_t member,
        const AprMember_t *chosen, int count, AprMember_t candidate)
{
    const AprMemberEntry_t *entry = &record->members[candidate];
    int rank = class_of(record, member, chosen, count, candidate);

    if (entry->state == APR_MEMBER_DRAINING) {
        rank += CLASS_COUNT;
    }
    return 2 * rank + !is_witness_now(&record->members[member], entry->host);
}

/* Spreads the work of witnesses evenly over equally good candidates. */
static uint64_t
pair_hash(const AprRecord_t *record, AprMember_t member, AprMember_t candidate)
{
    const char *host = record->members[candidate].host;

    return AprKey_Hash(record->members[member].host, host, strlen(host));
}

static AprMember_t
best_candidate(const AprRecord_t *record, AprMember_t member,
               const AprMember_t *chosen, int count)
{
    AprMember_t best = APR_NO_MEMBER;
    int best_rank = 0;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        AprMember_t candidate = (AprMember_t)i;
        int rank;

        if (candidate == member ||
            record->members[i].state == APR_MEMBER_FREE ||
            is_chosen(chosen, count, candidate)) {
            continue;
        }
        rank = rank_of(record, member, chosen, count, candidate);
        if (best == APR_NO_MEMBER || rank < best_rank ||
            (rank == best_rank && pair_hash(record, member, candidate) <
                                      pair_hash(record, member, best))) {
            best = candidate;
            best_rank = rank;
        }
    }
    return best;
}

/* Chooses min(3, n - 1) witnesses for a member: one in each other failure
   domain, then one in its own, then a second one elsewhere. A function of the
   record only. Returns their number. */
int
AprRecord_ChooseWitnesses(const AprRecord_t *record, AprMember_t member,
                          char witnesses[][APR_NAME_SIZE])
{
    AprMember_t chosen[APR_MAX_WITNESSES];
    int count = 0;

    while (count < APR_MAX_WITNESSES) {
        AprMember_t best = best_candidate(record, member, chosen, count);

        if (best == APR_NO_MEMBER) {
            break;
        }
        snprintf(witnesses[count], APR_NAME_SIZE, "%s",
                 record->members[best].host);
        chosen[count++] = best;
    }
    return count;
}
