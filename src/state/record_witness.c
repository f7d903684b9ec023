#include "apricot/record.h"

#include <stdio.h>
#include <string.h>

/* Preference classes of candidates; the smaller value is preferred. */
enum {
    CLASS_OTHER_DOMAIN, /* another domain, without a chosen witness */
    CLASS_OWN_DOMAIN,   /* the first witness in the member's own domain */
    CLASS_OTHER_DOMAIN_AGAIN, /* another domain, with a chosen witness */
    CLASS_OWN_DOMAIN_AGAIN,   /* a further witness in the own domain */
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
candidate_class(const AprRecord_t *record, AprMember_t member,
                const AprMember_t *chosen, int count, AprMember_t candidate)
{
    const AprMemberEntry_t *entry = &record->members[candidate];
    bool own = same_domain(entry, &record->members[member]);
    bool domain_covered = false;

    for (int i = 0; i < count; i++) {
        domain_covered =
            domain_covered || same_domain(entry, &record->members[chosen[i]]);
    }
    if (own) {
        return domain_covered ? CLASS_OWN_DOMAIN_AGAIN : CLASS_OWN_DOMAIN;
    }
    return domain_covered ? CLASS_OTHER_DOMAIN_AGAIN : CLASS_OTHER_DOMAIN;
}

static bool
is_current_witness(const AprMemberEntry_t *member, const char *host)
{
    for (int i = 0; i < member->witness_count; i++) {
        if (strcmp(member->witnesses[i], host) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the rank of a candidate; the smaller value is preferred. Draining
   members rank last because they leave soon. Within a class, current witnesses
   rank first, so that a host that joins does not change the lists of all
   others. */
static int
candidate_rank(const AprRecord_t *record, AprMember_t member,
               const AprMember_t *chosen, int count, AprMember_t candidate)
{
    const AprMemberEntry_t *entry = &record->members[candidate];
    int rank = candidate_class(record, member, chosen, count, candidate);

    if (entry->state == APR_MEMBER_DRAINING) {
        rank += CLASS_COUNT;
    }
    return 2 * rank +
           !is_current_witness(&record->members[member], entry->host);
}

/* Orders candidates of equal rank by a hash of both host names, which spreads
   the load of witnesses evenly over them. */
static uint64_t
tie_break_hash(const AprRecord_t *record, AprMember_t member,
               AprMember_t candidate)
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
        rank = candidate_rank(record, member, chosen, count, candidate);
        if (best == APR_NO_MEMBER || rank < best_rank ||
            (rank == best_rank && tie_break_hash(record, member, candidate) <
                                      tie_break_hash(record, member, best))) {
            best = candidate;
            best_rank = rank;
        }
    }
    return best;
}

/* Chooses min(APR_MAX_WITNESSES, n - 1) witnesses for a member of a cell of n:
   first one in each other failure domain, then one in its own, then further
   ones in other domains, and last further ones in its own. Draining members
   are chosen only when no others are left. The result depends only on the
   record. Returns the number of names written to `witnesses`, which has room
   for APR_MAX_WITNESSES. */
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
