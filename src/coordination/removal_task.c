#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

#define ATTEMPT_TIMEOUT_MS 400
/* The witnesses of a member start one after the other, so that usually only
   the first of them writes. */
#define STAGGER_MS 40

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

static void
start_attempt(AprCore_t *core, AprMember_t suspect, struct timespec now)
{
    const AprMemberEntry_t *member = &core->record->members[suspect];
    Attempt_t *attempt;

    if (g_hash_table_contains(core->removals, member->host)) {
        return;
    }
    attempt = calloc(1, sizeof(*attempt));
    if (attempt == NULL) {
        return;
    }
    g_strlcpy(attempt->host, member->host, sizeof(attempt->host));
    attempt->begin_at =
        AprTime_AddMs(now, STAGGER_MS * witness_index(core, member));
    attempt->give_up_at = AprTime_AddMs(attempt->begin_at, ATTEMPT_TIMEOUT_MS);
    g_hash_table_insert(core->removals, attempt->host, attempt);
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
    count = AprLease_Suspects(core->lease, now, suspects, APR_MAX_MEMBERS);
    for (int i = 0; i < count; i++) {
        start_attempt(core, suspects[i], now);
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

static void
write_if_ready(AprCore_t *core, Attempt_t *attempt)
{
    if (attempt->phase != ATTEMPT_ASKING ||
        !AprRemoval_Ready(&attempt->removal, core->record)) {
        return;
    }
    attempt->phase = ATTEMPT_WRITING;
    AprRecordSync_Change(core, apply_removal, removal_done, attempt);
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

/* Takes CONSENT as a witness and CONSENT_ACK as the remover. */
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
    else {
        take_consent(core, host, &message->consent);
    }
}
