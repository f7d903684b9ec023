/* The hosts of the installation: their entries in the store, and the load
   that they report on links. */

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/gateway.h"
#include "internal/host_choice.h"

/* A host that could not be reached is avoided for this time. */
#define AVOID_MS 1000

/* A host without an entry in the store is still used for this time after it
   was last heard: entries may lapse while their hosts are well. */
#define HEARD_MS 3000

/* A host that passes items on to others needs processor time and bandwidth;
   its capacity is the smaller multiple of these. */
#define CAPACITY_CPU_SHARE 0.05
#define CAPACITY_LINK_MBPS 10.0
#define CAPACITY_MAX 1000

/* An entry that was removed this long ago is forgotten. */
#define FORGET_MS 120000

struct AprMembers_t {
    AprGateway_t *gateway;
    AprHost_t *members;
    int count;
    int capacity;
    uint64_t random;
    int64_t version;
};

/* Creates an empty table. */
AprMembers_t *
AprMembers_New(AprGateway_t *gateway)
{
    AprMembers_t *members = calloc(1, sizeof(*members));

    if (members != NULL) {
        members->gateway = gateway;
        members->random = g_random_int() | 1u;
    }
    return members;
}

/* Frees the table. */
void
AprMembers_Free(AprMembers_t *members)
{
    if (members != NULL) {
        free(members->members);
        free(members);
    }
}

/* Finds a host; NULL when it is not known. The pointer is valid until the
   next AprMembers_Apply. */
AprHost_t *
AprMembers_Find(AprMembers_t *members, const char *host)
{
    for (int i = 0; i < members->count; i++) {
        if (strcmp(members->members[i].host, host) == 0) {
            return &members->members[i];
        }
    }
    return NULL;
}

/* Number of known hosts, those without an entry included. */
int
AprMembers_Count(const AprMembers_t *members)
{
    return members->count;
}

/* A number that rises with each change of an entry. */
int64_t
AprMembers_Version(const AprMembers_t *members)
{
    return members->version;
}

/* The host at an index. */
AprHost_t *
AprMembers_At(AprMembers_t *members, int index)
{
    return &members->members[index];
}

static AprHost_t *
add_member(AprMembers_t *members, const char *host)
{
    AprHost_t *member;

    if (members->count == members->capacity) {
        int capacity = members->capacity == 0 ? 16 : members->capacity * 2;
        AprHost_t *grown =
            realloc(members->members, (size_t)capacity * sizeof(*grown));

        if (grown == NULL) {
            return NULL;
        }
        members->members = grown;
        members->capacity = capacity;
    }
    member = &members->members[members->count++];
    memset(member, 0, sizeof(*member));
    g_strlcpy(member->host, host, sizeof(member->host));
    return member;
}

static int
read_entry(AprHost_t *member, const char *text, size_t size)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    const char *address;
    const char *domain;
    const char *service;
    const char *id;
    json_int_t born_ms;
    int slots;
    int capacity;
    int open;
    int result = APR_E_PARSE;

    if (json_unpack(root, "{s:s,s:s,s:s,s:s,s:I,s:i,s:i,s:b}", "address",
                    &address, "domain", &domain, "service", &service, "id",
                    &id, "born", &born_ms, "slots", &slots, "capacity",
                    &capacity, "open", &open) == 0) {
        g_strlcpy(member->address, address, sizeof(member->address));
        g_strlcpy(member->domain, domain, sizeof(member->domain));
        g_strlcpy(member->service, service, sizeof(member->service));
        g_strlcpy(member->life.id, id, sizeof(member->life.id));
        member->life.born_ms = born_ms;
        member->slots = slots;
        member->capacity = capacity;
        member->open = open != 0;
        member->load.open = member->open;
        result = APR_OK;
    }
    json_decref(root);
    return result;
}

static int
capacity_of(const AprGatewaySettings_t *settings)
{
    double by_cpu = settings->cpu_share / CAPACITY_CPU_SHARE;
    double by_link = settings->link_mbps / CAPACITY_LINK_MBPS;
    double capacity = by_cpu < by_link ? by_cpu : by_link;

    return (int)(capacity < CAPACITY_MAX ? capacity : CAPACITY_MAX);
}

/* The entry of this host, allocated with malloc; NULL when memory runs
   out. */
char *
AprMembers_OwnEntry(const AprGateway_t *gateway)
{
    const AprGatewaySettings_t *settings = &gateway->settings;
    const AprBackendLife_t *life = AprBackend_Life(gateway->backend);
    const char *address = settings->listen_peers;
    AprHostLoad_t load = {0};
    json_t *root;
    char *text;

    if (settings->advertise_peers[0] != '\0') {
        address = settings->advertise_peers;
    }
    AprBackend_Load(gateway->backend, &load);
    root = json_pack("{s:s,s:s,s:s,s:s,s:I,s:i,s:i,s:b}", "address", address,
                     "domain", settings->failure_domain, "service",
                     settings->backend_service, "id", life->id, "born",
                     (json_int_t)life->born_ms, "slots", load.slots,
                     "capacity", capacity_of(settings), "open",
                     load.open && life->id[0] != '\0');
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

/* Takes over an entry of the store, or its removal. */
void
AprMembers_Apply(AprMembers_t *members, const char *host,
                 const AprKvItem_t *item)
{
    AprHost_t *member = AprMembers_Find(members, host);
    int64_t now_ms = AprGateway_NowMs(members->gateway);

    members->version++;
    if (item->removed) {
        if (member != NULL && member->listed) {
            member->listed = false;
            member->unlisted_ms = now_ms;
            member->revision = item->revision;
            AprLog_Write(APR_LOG_INFO, "member_unlisted",
                         "peer=%s revision=%lld", host,
                         (long long)item->revision);
        }
        return;
    }
    if (member == NULL) {
        member = add_member(members, host);
    }
    if (member == NULL ||
        read_entry(member, item->value, item->value_size) != APR_OK) {
        AprLog_Write(APR_LOG_WARN, "member_unreadable",
                     "peer=%s revision=%lld", host, (long long)item->revision);
        return;
    }
    AprLog_Write(APR_LOG_INFO, "member_listed",
                 "peer=%s revision=%lld backend=%s open=%d", host,
                 (long long)item->revision, member->life.id, member->open);
    member->listed = true;
    member->lease = item->lease;
    member->revision = item->revision;
    member->failed_ms = 0;
}

/* Notes the load that a host reported. */
void
AprMembers_NoteLoad(AprMembers_t *members, const char *host,
                    const AprHostLoad_t *load)
{
    AprHost_t *member = AprMembers_Find(members, host);

    if (member != NULL) {
        member->load = *load;
        member->load_ms = AprGateway_NowMs(members->gateway);
        member->failed_ms = 0;
    }
}

/* Notes that another host heard a host so many milliseconds ago. */
void
AprMembers_NoteHeard(AprMembers_t *members, const char *host, int64_t age_ms)
{
    AprHost_t *member = AprMembers_Find(members, host);
    int64_t heard_ms = AprGateway_NowMs(members->gateway) - age_ms;

    if (member != NULL && age_ms >= 0 &&
        heard_ms > member->heard_elsewhere_ms) {
        member->heard_elsewhere_ms = heard_ms;
    }
}

static int
later_first(const void *left, const void *right)
{
    int64_t difference = *(const int64_t *)right - *(const int64_t *)left;

    return (difference > 0) - (difference < 0);
}

/* When most of the known hosts, this one included, report that the store does
   not answer them: the time of the oldest of the reports that make up the
   majority. 0 when there is no such majority. */
int64_t
AprMembers_StoreLostSince(AprMembers_t *members)
{
    int64_t *reports = g_new0(int64_t, (gsize)members->count + 1);
    int64_t now_ms = AprGateway_NowMs(members->gateway);
    int known = 0;
    int count = 0;
    int64_t since_ms = 0;

    for (int i = 0; i < members->count; i++) {
        const AprHost_t *member = &members->members[i];

        if (!member->listed && now_ms - member->unlisted_ms > FORGET_MS) {
            continue;
        }
        known++;
        if (strcmp(member->host, members->gateway->settings.host) == 0) {
            reports[count++] = now_ms;
        }
        else if (member->load_ms != 0 && member->load.store_lost) {
            reports[count++] = member->load_ms;
        }
    }
    if (count * 2 > known) {
        qsort(reports, (size_t)count, sizeof(*reports), later_first);
        since_ms = reports[known / 2];
    }
    g_free(reports);
    return since_ms;
}

/* Notes that a host could not be reached. */
void
AprMembers_NoteFailure(AprMembers_t *members, const char *host)
{
    AprHost_t *member = AprMembers_Find(members, host);

    if (member != NULL) {
        member->failed_ms = AprGateway_NowMs(members->gateway);
        member->load_ms = 0;
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

static void
fill_option(AprMembers_t *members, AprHost_t *member, AprHostOption_t *option,
            int64_t now_ms)
{
    AprGateway_t *gateway = members->gateway;
    bool own = strcmp(member->host, gateway->settings.host) == 0;

    if (own) {
        AprBackend_Load(gateway->backend, &member->load);
        member->load_ms = now_ms;
    }
    option->wait_ms = member->load_ms == 0 ? 0 : member->load.wait_ms;
    option->age_ms = member->load_ms == 0 ? 0 : now_ms - member->load_ms;
    option->busy = member->load.running + member->load.queued;
    option->in_flight =
        own ? 0 : AprLinks_InFlight(gateway->links, member->host);
    option->slots = member->slots;
    option->same_domain =
        strcmp(member->domain, gateway->settings.failure_domain) == 0;
    option->suspect =
        member->failed_ms != 0 && now_ms - member->failed_ms < AVOID_MS;
}

/* Chooses the host for a request that any backend server of a service can
   take. Hosts in `tried` are left out. Returns NULL when none is left. */
AprHost_t *
AprMembers_Choose(AprMembers_t *members, const char *service,
                  char tried[][APR_NAME_SIZE], int tried_count)
{
    int64_t now_ms = AprGateway_NowMs(members->gateway);
    AprHost_t *best = NULL;
    AprHostOption_t best_option;

    for (int i = 0; i < members->count; i++) {
        AprHost_t *member = &members->members[i];
        AprHostOption_t option;

        if (strcmp(member->service, service) != 0 || !member->open ||
            !member->load.open || member->life.id[0] == '\0' ||
            was_tried(member->host, tried, tried_count) ||
            (!member->listed && now_ms - member->load_ms > HEARD_MS &&
             now_ms - member->unlisted_ms > HEARD_MS)) {
            continue;
        }
        fill_option(members, member, &option, now_ms);
        members->random = members->random * 6364136223846793005u + 1;
        option.tie = (uint32_t)(members->random >> 32);
        if (best == NULL || AprHostOption_IsBetter(&option, &best_option)) {
            best = member;
            best_option = option;
        }
    }
    return best;
}
