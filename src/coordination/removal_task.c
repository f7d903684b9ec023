#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

#define ATTEMPT_TIMEOUT_MS 400
/* One process of the cell removes all lost members, so that the loss of a
   failure domain takes one write. It collects suspects for this long before it
   starts. */
#define SUSPECT_COLLECT_MS 20
/* A witness starts its own attempt after this delay if the removing process
   has not removed the member by then. */
#define FALLBACK_DELAY_MS 200
/* Additional delay per position in the list of witnesses, so that the
   witnesses of a member do not start at the same time. */
#define FALLBACK_STAGGER_MS 60
/* How long a removal that has its consents waits for others, to share one
   write with them. */
#define READY_BATCH_MS 25

typedef enum AttemptPhase_t {
    ATTEMPT_SCHEDULED,           /* waits until `start_at` */
    ATTEMPT_READING_RECORD,      /* waits for a read from the store */
    ATTEMPT_COLLECTING_CONSENTS, /* waits for consents */
    ATTEMPT_WRITING_RECORD       /* its change of the record is queued */
} AttemptPhase_t;

/* One attempt of this process to remove a member. */
typedef struct AprRemovalAttempt_t {
    AttemptPhase_t phase;
    char host[APR_NAME_SIZE];
    struct timespec start_at;
    struct timespec deadline;
    bool has_quorum; /* has enough consents for the removal */
    AprMemberRemoval_t removal;
} AprRemovalAttempt_t;

/* Returns the position of this process among the witnesses of a member, or 0
   when it is none of them. */
static int
own_witness_index(const AprCore_t *core, const AprMemberEntry_t *member)
{
    for (int i = 0; i < member->witness_count; i++) {
        if (strcmp(member->witnesses[i], core->settings.host) == 0) {
            return i;
        }
    }
    return 0;
}

/* Returns the host that is to remove a lost member: the first other member in
   record order that is not itself a suspect and to which this process has an
   open link, or this host if it comes first or there is none. The processes
   need not agree on it; two removing hosts only cause a conflict in the
   store. */
static const char *
choose_removing_host(AprCore_t *core, const AprMemberEntry_t *lost)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *member = &core->record->members[i];
        const AprOutboundLink_t *link;

        if (member->state == APR_MEMBER_FREE || member == lost) {
            continue;
        }
        if (strcmp(member->host, core->settings.host) == 0) {
            return member->host;
        }
        if (g_hash_table_contains(core->removal_attempts, member->host)) {
            continue; /* also a suspect */
        }
        link = AprLinks_OpenForHost(core, member->host);
        if (link != NULL && link->up) {
            return member->host;
        }
    }
    return core->settings.host;
}

static void
report_suspect(AprCore_t *core, const char *host, const AprMemberEntry_t *lost)
{
    AprMessage_t message = {0};

    message.type = APR_MSG_SUSPECT;
    message.consent.member = AprBytes_FromText(lost->host);
    message.consent.member_incarnation = lost->incarnation;
    message.consent.record_version = core->record->version;
    AprLinks_SendToHost(core, host, &message);
}

static void
add_attempt(AprCore_t *core, const AprMemberEntry_t *member,
            struct timespec start_at)
{
    AprRemovalAttempt_t *attempt = calloc(1, sizeof(*attempt));

    if (attempt == NULL) {
        return;
    }
    g_strlcpy(attempt->host, member->host, sizeof(attempt->host));
    attempt->start_at = start_at;
    attempt->deadline = AprTime_AddMs(attempt->start_at, ATTEMPT_TIMEOUT_MS);
    g_hash_table_insert(core->removal_attempts, attempt->host, attempt);
}

static void
handle_expired_member(AprCore_t *core, AprMember_t suspect,
                      struct timespec now)
{
    const AprMemberEntry_t *member = &core->record->members[suspect];
    const char *removing_host;
    int delay_ms = SUSPECT_COLLECT_MS;

    if (g_hash_table_contains(core->removal_attempts, member->host)) {
        return;
    }
    removing_host = choose_removing_host(core, member);
    if (strcmp(removing_host, core->settings.host) != 0) {
        report_suspect(core, removing_host, member);
        delay_ms = FALLBACK_DELAY_MS +
                   FALLBACK_STAGGER_MS * own_witness_index(core, member);
    }
    add_attempt(core, member, AprTime_AddMs(now, delay_ms));
}

/* Handles the report of a witness that the promise to a member has expired.
   The attempt starts after a short delay in which further reports may
   arrive. */
static void
handle_suspect_report(AprCore_t *core, const AprConsentMessage_t *suspect)
{
    AprMember_t member =
        AprRecord_FindHost(core->record, suspect->member.data);
    AprRemovalAttempt_t *attempt =
        g_hash_table_lookup(core->removal_attempts, suspect->member.data);
    struct timespec start_at =
        AprTime_AddMs(AprCore_Now(core), SUSPECT_COLLECT_MS);

    if (member == APR_NO_MEMBER || core->record->members[member].incarnation !=
                                       suspect->member_incarnation) {
        return;
    }
    if (attempt == NULL) {
        add_attempt(core, &core->record->members[member], start_at);
    }
    else if (attempt->phase == ATTEMPT_SCHEDULED &&
             AprTime_IsBefore(start_at, attempt->start_at)) {
        attempt->start_at = start_at;
        attempt->deadline = AprTime_AddMs(start_at, ATTEMPT_TIMEOUT_MS);
    }
}

static int
apply_removal(AprCore_t *core, AprRecord_t *record, void *argument)
{
    const AprRemovalAttempt_t *attempt = argument;
    AprMember_t member = AprRecord_FindHost(record, attempt->host);

    if (member == APR_NO_MEMBER || record->members[member].incarnation !=
                                       attempt->removal.member_incarnation) {
        return APR_E_EXISTS;
    }
    /* Consents are valid for one version of the record only; core->record is
       the version that the swap replaces. */
    if (!AprMemberRemoval_HasQuorum(&attempt->removal, core->record)) {
        return APR_E_STALE;
    }
    AprRecord_RemoveMember(record, member);
    AprMembership_AssignUnowned(core, record);
    return APR_OK;
}

static void
on_removal_done(AprCore_t *core, int result, void *argument)
{
    AprRemovalAttempt_t *attempt = argument;

    if (result == APR_OK) {
        AprMetric_Add(core->removals_done, 1);
    }
    AprLog_Write(APR_LOG_WARN, "member-removal",
                 "member=%s incarnation=%" PRIu64 " result=%s", attempt->host,
                 attempt->removal.member_incarnation, AprError_Name(result));
    g_hash_table_remove(core->removal_attempts, attempt->host);
}

/* Queues all removals that have enough consents, so that they share one
   swap. */
static void
submit_ready_removals(AprCore_t *core)
{
    GList *attempts = g_hash_table_get_values(core->removal_attempts);

    core->removal_batch_pending = false;
    core->swap_delayed = true;
    for (GList *item = attempts; item != NULL; item = item->next) {
        AprRemovalAttempt_t *attempt = item->data;

        if (attempt->phase == ATTEMPT_COLLECTING_CONSENTS &&
            attempt->has_quorum) {
            attempt->phase = ATTEMPT_WRITING_RECORD;
            AprRecordSync_QueueChange(core, apply_removal, on_removal_done,
                                      attempt);
        }
    }
    core->swap_delayed = false;
    g_list_free(attempts);
    AprRecordSync_Tick(core);
}

static bool
has_pending_consents(const AprCore_t *core)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, core->removal_attempts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const AprRemovalAttempt_t *attempt = value;

        if (attempt->phase == ATTEMPT_READING_RECORD ||
            (attempt->phase == ATTEMPT_COLLECTING_CONSENTS &&
             !attempt->has_quorum)) {
            return true;
        }
    }
    return false;
}

/* Adds the consent of this process when it completes the quorum. A consent
   binds its witness until the record changes, so it is not given as long as
   the other witnesses still receive renewals from the member. */
static void
add_decisive_consent(AprCore_t *core, AprRemovalAttempt_t *attempt)
{
    AprMemberRemoval_t with_own_consent = attempt->removal;

    AprMemberRemoval_AddConsent(&with_own_consent, core->settings.host,
                                core->incarnation);
    if (!AprMemberRemoval_HasQuorum(&attempt->removal, core->record) &&
        AprMemberRemoval_HasQuorum(&with_own_consent, core->record) &&
        AprLease_OnConsentRequest(
            core->lease, attempt->host, attempt->removal.member_incarnation,
            attempt->removal.record_version, AprCore_Now(core))) {
        attempt->removal = with_own_consent;
    }
}

/* Queues the removal once it has enough consents. A swap invalidates the
   consents of all other attempts, so the first one that is ready waits up to
   READY_BATCH_MS for the others. */
static void
submit_if_ready(AprCore_t *core, AprRemovalAttempt_t *attempt)
{
    if (attempt->phase != ATTEMPT_COLLECTING_CONSENTS) {
        return;
    }
    add_decisive_consent(core, attempt);
    if (!AprMemberRemoval_HasQuorum(&attempt->removal, core->record)) {
        return;
    }
    attempt->has_quorum = true;
    if (!has_pending_consents(core)) {
        submit_ready_removals(core);
    }
    else if (!core->removal_batch_pending) {
        core->removal_batch_pending = true;
        core->removal_batch_at =
            AprTime_AddMs(AprCore_Now(core), READY_BATCH_MS);
    }
}

/* Starts attempts for members whose promise has expired, and drops attempts
   that exceed their deadline; a later attempt reads the record again. */
void
AprRemovalTask_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    AprMember_t suspects[APR_MAX_MEMBERS];
    GHashTableIter iterator;
    gpointer value;
    int count;

    g_hash_table_iter_init(&iterator, core->removal_attempts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        AprRemovalAttempt_t *attempt = value;

        if (attempt->phase == ATTEMPT_WRITING_RECORD) {
            continue; /* ends in on_removal_done() */
        }
        if (AprTime_IsBefore(attempt->deadline, now)) {
            g_hash_table_iter_remove(&iterator);
        }
        else if (attempt->phase == ATTEMPT_SCHEDULED &&
                 !AprTime_IsBefore(now, attempt->start_at)) {
            attempt->phase = ATTEMPT_READING_RECORD;
            AprRecordSync_StartRead(core);
        }
    }
    if (!core->record_known) {
        return;
    }
    if (core->removal_batch_pending &&
        !AprTime_IsBefore(now, core->removal_batch_at)) {
        submit_ready_removals(core);
    }
    count = AprLease_ListExpiredMembers(core->lease, now, suspects,
                                        APR_MAX_MEMBERS);
    for (int i = 0; i < count; i++) {
        handle_expired_member(core, suspects[i], now);
    }
}

static void
send_consent_requests(AprCore_t *core, const AprRemovalAttempt_t *attempt,
                      AprMember_t suspect)
{
    const AprMemberEntry_t *member = &core->record->members[suspect];
    AprMessage_t message = {0};

    message.type = APR_MSG_CONSENT;
    message.consent.member = AprBytes_FromText(attempt->host);
    message.consent.member_incarnation = member->incarnation;
    message.consent.record_version = attempt->removal.record_version;
    for (int i = 0; i < member->witness_count; i++) {
        if (strcmp(member->witnesses[i], core->settings.host) != 0) {
            AprLinks_SendToHost(core, member->witnesses[i], &message);
        }
    }
}

/* Adds the consent of this process and requests those of the other witnesses.
   Returns false when the member is gone or this process gives no consent; the
   caller then drops the attempt. */
static bool
start_collecting_consents(AprCore_t *core, AprRemovalAttempt_t *attempt)
{
    AprMember_t member = AprRecord_FindHost(core->record, attempt->host);

    if (member == APR_NO_MEMBER ||
        AprMemberRemoval_Begin(&attempt->removal, core->record, member) !=
            APR_OK ||
        !AprLease_OnConsentRequest(
            core->lease, attempt->host, attempt->removal.member_incarnation,
            attempt->removal.record_version, AprCore_Now(core))) {
        return false;
    }
    AprMemberRemoval_AddConsent(&attempt->removal, core->settings.host,
                                core->incarnation);
    attempt->phase = ATTEMPT_COLLECTING_CONSENTS;
    send_consent_requests(core, attempt, member);
    return true;
}

/* Requests consents to the version of the record that was just read from the
   store, for all attempts that waited for this read. */
void
AprRemovalTask_OnFreshRead(AprCore_t *core)
{
    GList *attempts = g_hash_table_get_values(core->removal_attempts);

    for (GList *item = attempts; item != NULL; item = item->next) {
        AprRemovalAttempt_t *attempt = item->data;

        if (attempt->phase != ATTEMPT_READING_RECORD) {
            continue;
        }
        if (start_collecting_consents(core, attempt)) {
            submit_if_ready(core, attempt);
        }
        else {
            g_hash_table_remove(core->removal_attempts, attempt->host);
        }
    }
    g_list_free(attempts);
}

/* Drops attempts whose consents are for another version than that of the
   current record, because they are no longer valid. */
void
AprRemovalTask_OnRecord(AprCore_t *core)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, core->removal_attempts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const AprRemovalAttempt_t *attempt = value;

        if (attempt->phase == ATTEMPT_COLLECTING_CONSENTS &&
            attempt->removal.record_version != core->record->version) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}

static void
handle_consent_request(AprCore_t *core, AprLinkHandle_t link,
                       const AprConsentMessage_t *request)
{
    AprMessage_t answer = {0};

    answer.type = APR_MSG_CONSENT_ACK;
    answer.consent = *request;
    answer.consent.witness_incarnation = core->incarnation;
    answer.consent.granted = AprLease_OnConsentRequest(
        core->lease, request->member.data, request->member_incarnation,
        request->record_version, AprCore_Now(core));
    AprLinks_Send(core, link, &answer);
}

static void
handle_consent_reply(AprCore_t *core, const char *witness,
                     const AprConsentMessage_t *consent)
{
    AprRemovalAttempt_t *attempt =
        g_hash_table_lookup(core->removal_attempts, consent->member.data);

    if (attempt == NULL || !consent->granted ||
        attempt->phase != ATTEMPT_COLLECTING_CONSENTS ||
        consent->record_version != attempt->removal.record_version ||
        consent->member_incarnation != attempt->removal.member_incarnation) {
        return;
    }
    AprMemberRemoval_AddConsent(&attempt->removal, witness,
                                consent->witness_incarnation);
    submit_if_ready(core, attempt);
}

/* Handles CONSENT as a witness, and CONSENT_ACK and SUSPECT as the removing
   process. */
void
AprRemovalTask_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                         const AprMessage_t *message)
{
    const char *host = AprLinks_FindHost(core, link);

    if (host == NULL) {
        return;
    }
    if (message->type == APR_MSG_CONSENT) {
        handle_consent_request(core, link, &message->consent);
    }
    else if (message->type == APR_MSG_SUSPECT) {
        handle_suspect_report(core, &message->consent);
    }
    else {
        handle_consent_reply(core, host, &message->consent);
    }
}
