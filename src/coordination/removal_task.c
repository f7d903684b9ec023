#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

#define ATTEMPT_TIMEOUT_MS 400
/* One process of the cell removes all lost members, so that the loss of a
   failure domain takes one write. It gathers suspects for this long. */
#define GATHER_MS 20
/* A witness acts itself when the removing process has not done it by then;
   the witnesses of a member start one after the other. */
#define FALLBACK_MS 200
#define STAGGER_MS 60
/* Wait for further consents after the first member could be removed. */
#define FLUSH_MS 25

typedef enum AttemptPhase_t {
    ATTEMPT_WAITING, /* for its turn among the witnesses */
    ATTEMPT_READING, /* for a fresh read of the record */
    ATTEMPT_ASKING,  /* for consents */
    ATTEMPT_WRITING
} AttemptPhase_t;

/* One attempt of this witness to remove a member. */
typedef struct AprRemovalAttempt_t {
    AttemptPhase_t phase;
    char host[APR_NAME_SIZE];
    struct timespec begin_at;
    struct timespec give_up_at;
    bool ready; /* has the consents it needs */
    AprRemoval_t removal;
} Attempt_t;

static int
witness_index(const AprCore_t *core, const AprMemberEntry_t *member)
{
    for (int i = 0; i < member->witness_count; i++) {
        if (strcmp(member->witnesses[i], core->settings.host) == 0) {
            return i;
        }
    }
    return 0;
}

/* The process that removes lost members: the first active member in record
   order to which this process has a live link, or itself. It needs no
   agreement on who that is; two of them cost a conflict in the store. */
static const char *
removing_host(AprCore_t *core, const AprMemberEntry_t *lost)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *member = &core->record->members[i];
        const AprHostLink_t *link;

        if (member->state == APR_MEMBER_FREE || member == lost) {
            continue;
        }
        if (strcmp(member->host, core->settings.host) == 0) {
            return member->host;
        }
        if (g_hash_table_contains(core->removals, member->host)) {
            continue; /* itself a suspect */
        }
        link = AprLinks_ForHost(core, member->host);
        if (link != NULL && link->up) {
            return member->host;
        }
    }
    return core->settings.host;
}

static void
tell_removing_host(AprCore_t *core, const char *host,
                   const AprMemberEntry_t *lost)
{
    AprMessage_t message = {0};

    message.type = APR_MSG_SUSPECT;
    message.consent.member = AprBytes_FromText(lost->host);
    message.consent.member_incarnation = lost->incarnation;
    message.consent.version = core->record->version;
    AprLinks_SendToHost(core, host, &message);
}

static void
add_attempt(AprCore_t *core, const AprMemberEntry_t *member,
            struct timespec begin_at)
{
    Attempt_t *attempt = calloc(1, sizeof(*attempt));

    if (attempt == NULL) {
        return;
    }
    g_strlcpy(attempt->host, member->host, sizeof(attempt->host));
    attempt->begin_at = begin_at;
    attempt->give_up_at = AprTime_AddMs(attempt->begin_at, ATTEMPT_TIMEOUT_MS);
    g_hash_table_insert(core->removals, attempt->host, attempt);
}

static void
start_attempt(AprCore_t *core, AprMember_t suspect, struct timespec now)
{
    const AprMemberEntry_t *member = &core->record->members[suspect];
    const char *remover;
    int wait_ms = GATHER_MS;

    if (g_hash_table_contains(core->removals, member->host)) {
        return;
    }
    remover = removing_host(core, member);
    if (strcmp(remover, core->settings.host) != 0) {
        tell_removing_host(core, remover, member);
        wait_ms = FALLBACK_MS + STAGGER_MS * witness_index(core, member);
    }
    add_attempt(core, member, AprTime_AddMs(now, wait_ms));
}

/* A witness has found a member silent. The attempt begins after a short wait
   in which further suspects may come. */
static void
take_suspect(AprCore_t *core, const AprConsentMessage_t *suspect)
{
    AprMember_t member =
        AprRecord_FindHost(core->record, suspect->member.data);
    Attempt_t *attempt =
        g_hash_table_lookup(core->removals, suspect->member.data);
    struct timespec begin_at = AprTime_AddMs(AprCore_Now(core), GATHER_MS);

    if (member == APR_NO_MEMBER || core->record->members[member].incarnation !=
                                       suspect->member_incarnation) {
        return;
    }
    if (attempt == NULL) {
        add_attempt(core, &core->record->members[member], begin_at);
    }
    else if (attempt->phase == ATTEMPT_WAITING &&
             AprTime_Before(begin_at, attempt->begin_at)) {
        attempt->begin_at = begin_at;
        attempt->give_up_at = AprTime_AddMs(begin_at, ATTEMPT_TIMEOUT_MS);
    }
}

static int
apply_removal(AprCore_t *core, AprRecord_t *record, void *argument)
{
    const Attempt_t *attempt = argument;
    AprMember_t member = AprRecord_FindHost(record, attempt->host);

    if (member == APR_NO_MEMBER || record->members[member].incarnation !=
                                       attempt->removal.member_incarnation) {
        return APR_E_EXISTS;
    }
    /* Consents hold for one version only; core->record is the one that the
       swap replaces. */
    if (!AprRemoval_Ready(&attempt->removal, core->record)) {
        return APR_E_STALE;
    }
    AprRecord_Remove(record, member);
    AprMembership_AssignUnowned(core, record);
    return APR_OK;
}

static void
removal_done(AprCore_t *core, int result, void *argument)
{
    Attempt_t *attempt = argument;

    if (result == APR_OK) {
        AprMetric_Add(core->removals_done, 1);
    }
    AprLog_Write(APR_LOG_WARN, "member-removal",
                 "member=%s incarnation=%" PRIu64 " result=%s", attempt->host,
                 attempt->removal.member_incarnation, AprError_Name(result));
    g_hash_table_remove(core->removals, attempt->host);
}

/* Queues all removals that have their consents, to share one swap. */
static void
flush_ready(AprCore_t *core)
{
    GList *attempts = g_hash_table_get_values(core->removals);

    core->removal_flush = false;
    core->change_hold = true;
    for (GList *item = attempts; item != NULL; item = item->next) {
        Attempt_t *attempt = item->data;

        if (attempt->phase == ATTEMPT_ASKING && attempt->ready) {
            attempt->phase = ATTEMPT_WRITING;
            AprRecordSync_Change(core, apply_removal, removal_done, attempt);
        }
    }
    core->change_hold = false;
    g_list_free(attempts);
    AprRecordSync_Tick(core);
}

static bool
any_unready(const AprCore_t *core)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, core->removals);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Attempt_t *attempt = value;

        if (attempt->phase == ATTEMPT_READING ||
            (attempt->phase == ATTEMPT_ASKING && !attempt->ready)) {
            return true;
        }
    }
    return false;
}

/* Gives this process's own consent when it decides. A consent binds its
   witness until the record changes, so it is not given while the other
   witnesses still hear the member. */
static void
consent_if_decisive(AprCore_t *core, Attempt_t *attempt)
{
    AprRemoval_t with_own = attempt->removal;

    AprRemoval_AddConsent(&with_own, core->settings.host, core->incarnation);
    if (!AprRemoval_Ready(&attempt->removal, core->record) &&
        AprRemoval_Ready(&with_own, core->record) &&
        AprLease_OnConsentRequest(
            core->lease, attempt->host, attempt->removal.member_incarnation,
            attempt->removal.version, AprCore_Now(core))) {
        attempt->removal = with_own;
    }
}

/* A swap makes the consents of all other attempts void, so the first ready
   one waits a little for the others. */
static void
write_if_ready(AprCore_t *core, Attempt_t *attempt)
{
    if (attempt->phase != ATTEMPT_ASKING) {
        return;
    }
    consent_if_decisive(core, attempt);
    if (!AprRemoval_Ready(&attempt->removal, core->record)) {
        return;
    }
    attempt->ready = true;
    if (!any_unready(core)) {
        flush_ready(core);
    }
    else if (!core->removal_flush) {
        core->removal_flush = true;
        core->removal_flush_at = AprTime_AddMs(AprCore_Now(core), FLUSH_MS);
    }
}

/* Starts attempts for members whose promise has run out and ends attempts
   that take too long; they start again from a fresh read. */
void
AprRemovalTask_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    AprMember_t suspects[APR_MAX_MEMBERS];
    GHashTableIter iterator;
    gpointer value;
    int count;

    g_hash_table_iter_init(&iterator, core->removals);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Attempt_t *attempt = value;

        if (attempt->phase == ATTEMPT_WRITING) {
            continue; /* the change pipeline ends it */
        }
        if (AprTime_Before(attempt->give_up_at, now)) {
            g_hash_table_iter_remove(&iterator);
        }
        else if (attempt->phase == ATTEMPT_WAITING &&
                 !AprTime_Before(now, attempt->begin_at)) {
            attempt->phase = ATTEMPT_READING;
            AprRecordSync_Read(core);
        }
    }
    if (!core->record_known) {
        return;
    }
    if (core->removal_flush && !AprTime_Before(now, core->removal_flush_at)) {
        flush_ready(core);
    }
    count = AprLease_Suspects(core->lease, now, suspects, APR_MAX_MEMBERS);
    for (int i = 0; i < count; i++) {
        start_attempt(core, suspects[i], now);
    }
}

static void
ask_witnesses(AprCore_t *core, const Attempt_t *attempt, AprMember_t suspect)
{
    const AprMemberEntry_t *member = &core->record->members[suspect];
    AprMessage_t message = {0};

    message.type = APR_MSG_CONSENT;
    message.consent.member = AprBytes_FromText(attempt->host);
    message.consent.member_incarnation = member->incarnation;
    message.consent.version = attempt->removal.version;
    for (int i = 0; i < member->witness_count; i++) {
        if (strcmp(member->witnesses[i], core->settings.host) != 0) {
            AprLinks_SendToHost(core, member->witnesses[i], &message);
        }
    }
}

/* Gives this witness's own consent and asks the others. Returns false when
   the attempt is over. */
static bool
ask_for_consents(AprCore_t *core, Attempt_t *attempt)
{
    AprMember_t member = AprRecord_FindHost(core->record, attempt->host);

    if (member == APR_NO_MEMBER ||
        AprRemoval_Begin(&attempt->removal, core->record, member) != APR_OK ||
        !AprLease_OnConsentRequest(
            core->lease, attempt->host, attempt->removal.member_incarnation,
            attempt->removal.version, AprCore_Now(core))) {
        return false;
    }
    AprRemoval_AddConsent(&attempt->removal, core->settings.host,
                          core->incarnation);
    attempt->phase = ATTEMPT_ASKING;
    ask_witnesses(core, attempt, member);
    return true;
}

/* After a successful read of the store: attempts that waited for it ask for
   consents to this version. */
void
AprRemovalTask_OnFreshRead(AprCore_t *core)
{
    GList *attempts = g_hash_table_get_values(core->removals);

    for (GList *item = attempts; item != NULL; item = item->next) {
        Attempt_t *attempt = item->data;

        if (attempt->phase != ATTEMPT_READING) {
            continue;
        }
        if (ask_for_consents(core, attempt)) {
            write_if_ready(core, attempt);
        }
        else {
            g_hash_table_remove(core->removals, attempt->host);
        }
    }
    g_list_free(attempts);
}

/* After a newer record: consents to an older version count no more. */
void
AprRemovalTask_OnRecord(AprCore_t *core)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, core->removals);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Attempt_t *attempt = value;

        if (attempt->phase == ATTEMPT_ASKING &&
            attempt->removal.version != core->record->version) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}

static void
answer_consent(AprCore_t *core, AprLink_t link,
               const AprConsentMessage_t *request)
{
    AprMessage_t answer = {0};

    answer.type = APR_MSG_CONSENT_ACK;
    answer.consent = *request;
    answer.consent.witness_incarnation = core->incarnation;
    answer.consent.granted = AprLease_OnConsentRequest(
        core->lease, request->member.data, request->member_incarnation,
        request->version, AprCore_Now(core));
    AprLinks_Send(core, link, &answer);
}

static void
take_consent(AprCore_t *core, const char *witness,
             const AprConsentMessage_t *consent)
{
    Attempt_t *attempt =
        g_hash_table_lookup(core->removals, consent->member.data);

    if (attempt == NULL || !consent->granted ||
        attempt->phase != ATTEMPT_ASKING ||
        consent->version != attempt->removal.version ||
        consent->member_incarnation != attempt->removal.member_incarnation) {
        return;
    }
    AprRemoval_AddConsent(&attempt->removal, witness,
                          consent->witness_incarnation);
    write_if_ready(core, attempt);
}

/* Takes CONSENT as a witness; CONSENT_ACK and SUSPECT as the remover. */
void
AprRemovalTask_OnMessage(AprCore_t *core, AprLink_t link,
                         const AprMessage_t *message)
{
    const char *host = AprLinks_HostOf(core, link);

    if (host == NULL) {
        return;
    }
    if (message->type == APR_MSG_CONSENT) {
        answer_consent(core, link, &message->consent);
    }
    else if (message->type == APR_MSG_SUSPECT) {
        take_suspect(core, &message->consent);
    }
    else {
        take_consent(core, host, &message->consent);
    }
}
