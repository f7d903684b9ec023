/* Table of the hosts of the installation: their entries in the store, and the
   load that they report on links. */

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/gateway.h"
#include "internal/host_choice.h"

/* Time for which a host that could not be reached is avoided. */
#define FAILED_HOST_AVOID_MS 1000

/* Time for which a report that a host accepts no calls is believed. Without
   calls there may be no link on which it could report otherwise, and it
   refuses what comes too early without running it. */
#define REFUSAL_REPORT_VALID_MS 1000

/* Time for which the reported number of slots counts, rather than that of the
   entry, when a host is chosen for a request. */
#define SLOTS_REPORT_VALID_MS 3000

/* Time for which a host without an entry in the store is still used, counted
   from its last load report or from the loss of the entry, whichever is later.
   An entry may expire while its host works. */
#define UNLISTED_USE_MS 3000

/* Processor share and bandwidth that make up one unit of a host's capacity to
   pass items of the store on to other hosts. The smaller of the two quotients
   counts, up to CAPACITY_MAX. */
#define CAPACITY_CPU_SHARE 0.05
#define CAPACITY_LINK_MBPS 10.0
#define CAPACITY_MAX 1000

/* Time for which a host whose entry was removed still counts towards the
   majority in AprMembers_StoreOutageSinceMs(). */
#define UNLISTED_COUNTED_MS 120000

struct AprMembers_t {
    AprGateway_t *gateway;
    AprHost_t *hosts;
    int host_count;
    int host_capacity;
    GHashTable *index_by_name; /* name -> index in `hosts` */
    uint64_t random_state;
    int64_t version;           /* rises with each change of an entry */
    AprUsualLoad_t usual_load; /* of the reports with remaining work */
};

/* Creates an empty table; returns NULL when memory runs out. */
AprMembers_t *
AprMembers_New(AprGateway_t *gateway)
{
    AprMembers_t *members = calloc(1, sizeof(*members));

    if (members != NULL) {
        members->gateway = gateway;
        members->index_by_name =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        members->random_state = g_random_int() | 1u;
    }
    return members;
}

void
AprMembers_Free(AprMembers_t *members)
{
    if (members != NULL) {
        g_hash_table_destroy(members->index_by_name);
        free(members->hosts);
        free(members);
    }
}

/* Returns the host with a name, or NULL when it is not known. The pointer is
   valid until the next AprMembers_ApplyEntry(). */
AprHost_t *
AprMembers_Find(AprMembers_t *members, const char *host)
{
    gpointer index;

    if (!g_hash_table_lookup_extended(members->index_by_name, host, NULL,
                                      &index)) {
        return NULL;
    }
    return &members->hosts[GPOINTER_TO_INT(index)];
}

/* Returns the number of known hosts, including those without an entry. */
int
AprMembers_Count(const AprMembers_t *members)
{
    return members->host_count;
}

/* Returns a number that rises when an entry is added or removed, or when the
   failure domain or the capacity of a host changes. */
int64_t
AprMembers_Version(const AprMembers_t *members)
{
    return members->version;
}

/* Returns the host at an index below AprMembers_Count(). The pointer is valid
   until the next AprMembers_ApplyEntry(). */
AprHost_t *
AprMembers_At(AprMembers_t *members, int index)
{
    return &members->hosts[index];
}

static AprHost_t *
add_member(AprMembers_t *members, const char *host)
{
    AprHost_t *member;

    if (members->hosts == NULL ||
        members->host_count == members->host_capacity) {
        int capacity =
            members->host_capacity == 0 ? 16 : members->host_capacity * 2;
        AprHost_t *grown =
            realloc(members->hosts, (size_t)capacity * sizeof(*grown));

        if (grown == NULL) {
            return NULL;
        }
        members->hosts = grown;
        members->host_capacity = capacity;
    }
    member = &members->hosts[members->host_count++];
    memset(member, 0, sizeof(*member));
    g_strlcpy(member->host, host, sizeof(member->host));
    member->is_self =
        strcmp(member->host, members->gateway->settings.host) == 0;
    g_hash_table_insert(members->index_by_name, g_strdup(host),
                        GINT_TO_POINTER(members->host_count - 1));
    return member;
}

static int
parse_entry(AprHost_t *member, const char *text, size_t size)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    const char *address;
    const char *domain;
    const char *service;
    const char *id;
    json_int_t started_ms;
    int slots;
    int capacity;
    int open;
    int leaving = 0;
    int result = APR_E_PARSE;

    if (json_unpack(root, "{s:s,s:s,s:s,s:s,s:I,s:i,s:i,s:b,s?b}", "address",
                    &address, "domain", &domain, "service", &service, "id",
                    &id, "born", &started_ms, "slots", &slots, "capacity",
                    &capacity, "open", &open, "leaving", &leaving) == 0) {
        g_strlcpy(member->address, address, sizeof(member->address));
        g_strlcpy(member->failure_domain, domain,
                  sizeof(member->failure_domain));
        g_strlcpy(member->service, service, sizeof(member->service));
        member->service_id = g_quark_from_string(service);
        g_strlcpy(member->incarnation.id, id, sizeof(member->incarnation.id));
        member->incarnation.started_ms = started_ms;
        member->slots = slots;
        member->relay_capacity = capacity;
        member->accepts_calls = open != 0;
        member->leaving = leaving != 0;
        member->load_report.accepts_calls = member->accepts_calls;
        result = APR_OK;
    }
    json_decref(root);
    return result;
}

static int
relay_capacity(const AprGatewaySettings_t *settings)
{
    double by_cpu = settings->cpu_share / CAPACITY_CPU_SHARE;
    double by_link = settings->link_mbps / CAPACITY_LINK_MBPS;
    double capacity = by_cpu < by_link ? by_cpu : by_link;

    return (int)(capacity < CAPACITY_MAX ? capacity : CAPACITY_MAX);
}

/* Returns the entry of this host for the store as JSON text, which the caller
   frees with free(), or NULL when memory runs out. The entry says nothing of
   an unresponsive backend server: it would keep away the requests whose
   responses end that state. Load reports, which expire, tell of it. */
char *
AprMembers_FormatOwnEntry(const AprGateway_t *gateway)
{
    const AprGatewaySettings_t *settings = &gateway->settings;
    bool leaving;
    const AprBackendIncarnation_t *incarnation =
        AprOwnership_GetEntryIncarnation(gateway->ownership, &leaving);
    const char *address = settings->listen_peers;
    json_t *root;
    char *text;

    if (settings->advertise_peers[0] != '\0') {
        address = settings->advertise_peers;
    }
    root = json_pack(
        "{s:s,s:s,s:s,s:s,s:I,s:i,s:i,s:b,s:b}", "address", address, "domain",
        settings->failure_domain, "service", settings->backend_service, "id",
        incarnation->id, "born", (json_int_t)incarnation->started_ms, "slots",
        AprBackend_CountSlots(gateway->backend), "capacity",
        relay_capacity(settings), "open",
        AprBackend_IsOpen(gateway->backend) && incarnation->id[0] != '\0',
        "leaving", leaving);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

/* Applies a change of a host's entry in the store, or the removal of the
   entry. The host stays in the table without an entry. */
void
AprMembers_ApplyEntry(AprMembers_t *members, const char *host,
                      const AprKvItem_t *item)
{
    AprHost_t *member = AprMembers_Find(members, host);
    int64_t now_ms = AprGateway_NowMs(members->gateway);
    AprHost_t before;

    if (item->removed) {
        if (member != NULL && member->registered) {
            members->version++;
            member->registered = false;
            member->entry_removed_ms = now_ms;
            member->entry_revision = item->revision;
            AprLog_Write(APR_LOG_INFO, "member_unlisted",
                         "peer=%s revision=%lld", host,
                         (long long)item->revision);
        }
        return;
    }
    if (member == NULL) {
        member = add_member(members, host);
    }
    if (member != NULL) {
        before = *member;
    }
    if (member == NULL ||
        parse_entry(member, item->value, item->value_size) != APR_OK) {
        AprLog_Write(APR_LOG_WARN, "member_entry_invalid",
                     "peer=%s revision=%lld", host, (long long)item->revision);
        return;
    }
    AprLog_Write(APR_LOG_INFO, "member_listed",
                 "peer=%s revision=%lld backend=%s open=%d", host,
                 (long long)item->revision, member->incarnation.id,
                 member->accepts_calls);
    members->version +=
        !before.registered ||
        before.relay_capacity != member->relay_capacity ||
        strcmp(before.failure_domain, member->failure_domain) != 0;
    member->in_own_domain =
        strcmp(member->failure_domain,
               members->gateway->settings.failure_domain) == 0;
    member->registered = true;
    member->lease_id = item->lease;
    member->entry_revision = item->revision;
    member->unreachable_ms = 0;
}

/* Records the load that a host reported, and that the host is reachable. Has
   no effect for an unknown host. */
void
AprMembers_UpdateLoad(AprMembers_t *members, const char *host,
                      const AprHostLoad_t *load)
{
    AprHost_t *member = AprMembers_Find(members, host);

    if (member != NULL) {
        member->load_report = *load;
        member->load_report_ms = AprGateway_NowMs(members->gateway);
        member->unreachable_ms = 0;
        member->sent_count = 0;
        if (load->has_work) {
            AprUsualLoad_Add(&members->usual_load, (double)load->work_ms,
                             load->pace / 100.0, load->running + load->queued,
                             load->slots);
        }
    }
}

void
AprMembers_RecordOutcome(AprMembers_t *members, const char *host,
                         double lost_ms)
{
    AprHost_t *member = AprMembers_Find(members, host);

    if (member != NULL) {
        AprRecentFailures_Add(&member->failures, lost_ms,
                              AprGateway_NowMs(members->gateway));
    }
}

/* Records that another host received bytes from `host` `age_ms` ago; negative:
   never. */
void
AprMembers_RecordReachability(AprMembers_t *members, const char *host,
                              int64_t age_ms)
{
    AprHost_t *member = AprMembers_Find(members, host);
    int64_t heard_ms = AprGateway_NowMs(members->gateway) - age_ms;

    if (member != NULL && age_ms >= 0 && heard_ms > member->heard_by_peer_ms) {
        member->heard_by_peer_ms = heard_ms;
    }
}

static int
compare_descending(const void *left, const void *right)
{
    int64_t difference = *(const int64_t *)right - *(const int64_t *)left;

    return (difference > 0) - (difference < 0);
}

/* Returns the time of the oldest report that is needed for a majority of the
   known hosts reporting that the store does not answer them, or 0 when there
   is no such majority. This host counts as reporting now; the caller must have
   checked that the store does not answer it. */
int64_t
AprMembers_StoreOutageSinceMs(AprMembers_t *members)
{
    int64_t *reports = g_new0(int64_t, (gsize)members->host_count + 1);
    int64_t now_ms = AprGateway_NowMs(members->gateway);
    int known = 0;
    int count = 0;
    int64_t since_ms = 0;

    for (int i = 0; i < members->host_count; i++) {
        const AprHost_t *member = &members->hosts[i];

        if (!member->registered &&
            now_ms - member->entry_removed_ms > UNLISTED_COUNTED_MS) {
            continue;
        }
        known++;
        if (member->is_self) {
            reports[count++] = now_ms;
        }
        else if (member->load_report_ms != 0 &&
                 member->load_report.store_lost) {
            reports[count++] = member->load_report_ms;
        }
    }
    if (count * 2 > known) {
        qsort(reports, (size_t)count, sizeof(*reports), compare_descending);
        since_ms = reports[known / 2];
    }
    g_free(reports);
    return since_ms;
}

/* Records that a host could not be reached, and discards its load report. */
void
AprMembers_RecordUnreachable(AprMembers_t *members, const char *host)
{
    AprHost_t *member = AprMembers_Find(members, host);

    if (member != NULL) {
        member->unreachable_ms = AprGateway_NowMs(members->gateway);
        member->load_report_ms = 0;
    }
}

static bool
was_tried(const char *host, char tried[][APR_NAME_SIZE], int tried_count)
{
    for (int i = 0; i < tried_count; i++) {
        if (strcmp(tried[i], host) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the number of slots by a host's last load report, which is smaller
   while its backend server is cold. Without a report of the last `max_age_ms`,
   returns the slots of its entry. */
int
AprMembers_ReportedSlots(const AprMembers_t *members, const AprHost_t *host,
                         int64_t max_age_ms)
{
    if (host->is_self) {
        return AprBackend_IsCold(members->gateway->backend)
                   ? AprBackend_CountUsableSlots(members->gateway->backend)
                   : host->slots;
    }
    if (host->load_report_ms == 0 || host->load_report.slots < 1 ||
        AprGateway_NowMs(members->gateway) - host->load_report_ms >=
            max_age_ms) {
        return host->slots;
    }
    return host->load_report.slots;
}

/* Fills in what only the choice by remaining work uses. A cold host reports
   fewer slots than its entry in the store names. */
static void
fill_remaining_work(const AprMembers_t *members, const AprHost_t *member,
                    AprHostCandidate_t *candidate, int64_t now_ms)
{
    const AprHostLoad_t *load = &member->load_report;

    candidate->sent_count = member->is_self ? 0 : member->sent_count;
    candidate->failures_ms =
        AprRecentFailures_PenaltyMs(&member->failures, now_ms);
    candidate->silent_ms =
        member->is_self
            ? 0
            : AprLinks_UnansweredPingMs(members->gateway->links, member->host);
    if (member->load_report_ms == 0) {
        candidate->age_ms = INT32_MAX; /* the usual load is assumed */
        return;
    }
    candidate->has_work = load->has_work;
    candidate->work_ms = (double)load->work_ms;
    candidate->pace = load->pace / 100.0;
    candidate->network_delay_ms = load->network_delay_ms;
    if (load->slots > 0) {
        candidate->slots = load->slots;
    }
}

static void
fill_host_candidate(AprMembers_t *members, AprHost_t *member,
                    AprHostCandidate_t *candidate, int64_t now_ms)
{
    AprGateway_t *gateway = members->gateway;

    memset(candidate, 0, sizeof(*candidate));
    candidate->wait_ms =
        member->load_report_ms == 0 ? 0 : member->load_report.wait_ms;
    candidate->age_ms =
        member->load_report_ms == 0 ? 0 : now_ms - member->load_report_ms;
    candidate->request_count =
        member->load_report.running + member->load_report.queued;
    candidate->in_flight =
        member->is_self
            ? 0
            : AprLinks_CountOutboundCalls(gateway->links, member->host);
    candidate->slots =
        AprMembers_ReportedSlots(members, member, SLOTS_REPORT_VALID_MS);
    candidate->same_domain = member->in_own_domain;
    candidate->suspect =
        member->unreachable_ms != 0 &&
        now_ms - member->unreachable_ms < FAILED_HOST_AVOID_MS;
    if (AprGateway_IsBalancingAdaptive(gateway)) {
        fill_remaining_work(members, member, candidate, now_ms);
    }
}

/* Starts a sample of hosts for a request. */
static void
init_sample(AprMembers_t *members, AprHostSample_t *sample)
{
    AprHost_t *self =
        AprMembers_Find(members, members->gateway->settings.host);

    members->random_state = members->random_state * 6364136223846793005u + 1;
    AprHostSample_Init(sample, members->host_count,
                       self == NULL ? -1 : (int)(self - members->hosts),
                       members->random_state);
}

/* Returns the best host of a sample, which gets the request; NULL when the
   sample is empty. */
static AprHost_t *
take_best(AprMembers_t *members, const AprHostSample_t *sample)
{
    int index = AprHostSample_FindBest(sample, &members->usual_load);

    if (index < 0) {
        return NULL;
    }
    members->hosts[index].sent_count++;
    return &members->hosts[index];
}

/* Returns whether a host is known not to accept calls at present. */
static bool
reports_refusal(const AprHost_t *member, int64_t now_ms)
{
    return !member->load_report.accepts_calls && member->load_report_ms != 0 &&
           now_ms - member->load_report_ms < REFUSAL_REPORT_VALID_MS;
}

/* Returns whether the unresponsive backend server of this host may be tested
   with a request of a service. Other hosts send requests again when its load
   report has expired; requests that come only here need this rule. */
static bool
may_probe_own_backend(const AprMembers_t *members, const AprHost_t *member,
                      GQuark service_id)
{
    return member->is_self && member->service_id == service_id &&
           member->accepts_calls && member->incarnation.id[0] != '\0' &&
           AprBackend_IsProbeDue(members->gateway->backend);
}

/* Discards the load reports of the hosts in a failure domain: after an
   evacuation they still say that the hosts accept no calls. */
void
AprMembers_DiscardLoadReports(AprMembers_t *members, const char *domain)
{
    for (int i = 0; i < members->host_count; i++) {
        if (strcmp(members->hosts[i].failure_domain, domain) == 0) {
            members->hosts[i].load_report_ms = 0;
        }
    }
}

/* Returns whether a host outside the evacuated failure domains has a backend
   server of a service, so that it could receive keys. */
bool
AprMembers_HasUsableHost(AprMembers_t *members, const char *service)
{
    GQuark service_id = g_quark_try_string(service);

    for (int i = 0; i < members->host_count; i++) {
        const AprHost_t *member = &members->hosts[i];

        if (member->registered && member->accepts_calls &&
            member->incarnation.id[0] != '\0' &&
            member->service_id == service_id &&
            !AprGateway_IsEvacuated(members->gateway,
                                    member->failure_domain)) {
            return true;
        }
    }
    return false;
}

/* Returns whether a host takes new calls, as far as is known here. */
static bool
takes_calls(const AprMembers_t *members, const AprHost_t *member,
            int64_t now_ms)
{
    return member->accepts_calls && !reports_refusal(member, now_ms) &&
           member->incarnation.id[0] != '\0' &&
           !AprGateway_IsEvacuated(members->gateway, member->failure_domain) &&
           (member->registered ||
            now_ms - member->load_report_ms <= UNLISTED_USE_MS ||
            now_ms - member->entry_removed_ms <= UNLISTED_USE_MS);
}

/* Returns whether a host of a service takes calls that is none of those that
   were tried. */
bool
AprMembers_HasUntried(const AprMembers_t *members, const char *service,
                      char tried[][APR_NAME_SIZE], int tried_count)
{
    int64_t now_ms = AprGateway_NowMs(members->gateway);
    GQuark service_id = g_quark_try_string(service);

    for (int i = 0; i < members->host_count; i++) {
        const AprHost_t *member = &members->hosts[i];

        if (member->service_id == service_id &&
            takes_calls(members, member, now_ms) &&
            !was_tried(member->host, tried, tried_count)) {
            return true;
        }
    }
    return false;
}

/* Chooses the host for a request that any backend server of a service can
   handle. `large_body`: AprHostLoad_t.body_wait_ms applies to it. Hosts in
   `tried` are excluded. Returns NULL when no host is left.
   The pointer is valid until the next AprMembers_ApplyEntry(). */
AprHost_t *
AprMembers_ChooseHost(AprMembers_t *members, const char *service,
                      bool large_body, char tried[][APR_NAME_SIZE],
                      int tried_count)
{
    int64_t now_ms = AprGateway_NowMs(members->gateway);
    GQuark service_id = g_quark_try_string(service);
    AprHost_t *best = NULL;
    AprHostCandidate_t best_candidate;
    bool adaptive = AprGateway_IsBalancingAdaptive(members->gateway);
    AprHostSample_t sample;

    if (adaptive) {
        init_sample(members, &sample);
    }
    for (int i = 0; i < members->host_count + adaptive; i++) {
        int index = adaptive ? AprHostSample_IndexAt(&sample, i) : i;
        AprHost_t *member;
        AprHostCandidate_t candidate;

        if (index < 0) {
            continue;
        }
        member = &members->hosts[index];

        if (member->service_id != service_id) {
            continue;
        }
        if (member->is_self) {
            AprBackend_GetLoad(members->gateway->backend,
                               &member->load_report);
            member->load_report_ms = now_ms;
        }
        if (!takes_calls(members, member, now_ms) ||
            was_tried(member->host, tried, tried_count)) {
            continue;
        }
        fill_host_candidate(members, member, &candidate, now_ms);
        candidate.body_wait_ms =
            large_body ? member->load_report.body_wait_ms : 0;
        if (adaptive) {
            if (AprHostSample_Add(&sample, index, &candidate, i)) {
                break;
            }
            continue;
        }
        members->random_state =
            members->random_state * 6364136223846793005u + 1;
        candidate.tie_breaker = (uint32_t)(members->random_state >> 32);
        if (best == NULL ||
            AprHostCandidate_IsBetter(&candidate, &best_candidate)) {
            best = member;
            best_candidate = candidate;
        }
    }
    if (adaptive) {
        best = take_best(members, &sample);
    }
    for (int i = 0; i < members->host_count && best == NULL; i++) {
        AprHost_t *member = &members->hosts[i];

        if (may_probe_own_backend(members, member, service_id) &&
            !was_tried(member->host, tried, tried_count)) {
            best = member;
        }
    }
    return best;
}
