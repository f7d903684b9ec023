#include "internal/watchers.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "apricot/log.h"

/* Number of hosts that watch the store. Each change of the store answers every
   watch, and each answer is a call, so that few hosts watch. */
#define WATCHER_COUNT 2

/* Smallest number of relays, which pass the changes on to the other hosts;
   there is at least one in each failure domain. The watchers are relays, too.
   The other relays get the changes from the watchers, so that an item crosses
   to a failure domain once for each of its relays. */
#define MIN_RELAYS 3

/* Initialises an empty list that is computed on first use. `members` and
   `settings` must outlive it. */
void
AprWatchers_Init(AprWatchers_t *watchers, AprMembers_t *members,
                 const AprGatewaySettings_t *settings)
{
    memset(watchers, 0, sizeof(*watchers));
    watchers->members = members;
    watchers->settings = settings;
    watchers->members_version = -1;
}

/* Frees the list of sources, but not the struct itself. */
void
AprWatchers_Clear(AprWatchers_t *watchers)
{
    free(watchers->sources);
    watchers->sources = NULL;
    watchers->source_count = 0;
}

typedef struct HostRef_t {
    const AprHost_t *host;
    uint64_t hash; /* of its name */
} HostRef_t;

static uint64_t
host_hash(const char *host)
{
    return XXH3_64bits(host, strlen(host));
}

/* Orders hosts by failure domain, within a domain by descending capacity, and
   hosts of equal capacity by the hash of their names. */
static int
compare_hosts(const void *left_pointer, const void *right_pointer)
{
    const AprHost_t *left = ((const HostRef_t *)left_pointer)->host;
    const AprHost_t *right = ((const HostRef_t *)right_pointer)->host;
    int domains = strcmp(left->failure_domain, right->failure_domain);
    uint64_t left_hash = ((const HostRef_t *)left_pointer)->hash;
    uint64_t right_hash = ((const HostRef_t *)right_pointer)->hash;

    if (domains != 0) {
        return domains;
    }
    if (left->relay_capacity != right->relay_capacity) {
        return left->relay_capacity > right->relay_capacity ? -1 : 1;
    }
    return (left_hash > right_hash) - (left_hash < right_hash);
}

/* Lists the hosts with an entry in the store in the order of compare_hosts().
   Returns their number. */
static int
list_registered_hosts(AprWatchers_t *watchers, HostRef_t *hosts)
{
    int count = 0;

    for (int i = 0; i < AprMembers_Count(watchers->members); i++) {
        const AprHost_t *host = AprMembers_At(watchers->members, i);

        if (host->registered) {
            hosts[count].hash = host_hash(host->host);
            hosts[count++].host = host;
        }
    }
    qsort(hosts, (size_t)count, sizeof(*hosts), compare_hosts);
    return count;
}

static int
count_domains(HostRef_t *hosts, int count)
{
    int domains = 0;

    for (int i = 0; i < count; i++) {
        domains += i == 0 || strcmp(hosts[i].host->failure_domain,
                                    hosts[i - 1].host->failure_domain) != 0;
    }
    return domains;
}

/* Lists the relays, the first `per_domain` hosts of each failure domain, at
   the start of `hosts`. Returns their number. */
static int
select_relays(HostRef_t *hosts, int count, int per_domain)
{
    int relays = 0;
    int index_in_domain = 0;
    const char *domain = "";

    for (int i = 0; i < count; i++) {
        bool same = strcmp(hosts[i].host->failure_domain, domain) == 0;

        index_in_domain = same ? index_in_domain + 1 : 0;
        domain = hosts[i].host->failure_domain;
        if (index_in_domain < per_domain) {
            hosts[relays++] = hosts[i];
        }
    }
    return relays;
}

/* Orders relays by descending capacity, and those of equal capacity by the
   hash of their names. The first ones watch the store. */
static int
compare_relays(const void *left_pointer, const void *right_pointer)
{
    const HostRef_t *left = left_pointer;
    const HostRef_t *right = right_pointer;

    if (left->host->relay_capacity != right->host->relay_capacity) {
        return left->host->relay_capacity > right->host->relay_capacity ? -1
                                                                        : 1;
    }
    return (left->hash > right->hash) - (left->hash < right->hash);
}

/* Adds the relays of the own failure domain if `own_domain` is set, otherwise
   the others, except this host. */
static void
add_sources(AprWatchers_t *watchers, const HostRef_t *relays, int count,
            bool own_domain)
{
    for (int i = 0; i < count; i++) {
        if (relays[i].host->in_own_domain == own_domain &&
            !relays[i].host->is_self) {
            g_strlcpy(watchers->sources[watchers->source_count++],
                      relays[i].host->host, APR_NAME_SIZE);
        }
    }
}

/* Lists the hosts to subscribe to: the relays, those of the own failure domain
   first. For a relay, the watchers come before the other relays. */
static void
list_sources(AprWatchers_t *watchers, const HostRef_t *relays, int count)
{
    int first = 0;

    for (int i = 0; i < count; i++) {
        watchers->self_is_relay |= relays[i].host->is_self;
        watchers->includes_self |=
            relays[i].host->is_self && i < WATCHER_COUNT;
    }
    if (watchers->self_is_relay && count > WATCHER_COUNT) {
        first = WATCHER_COUNT;
    }
    add_sources(watchers, relays, first, true);
    add_sources(watchers, relays, first, false);
    add_sources(watchers, relays + first, count - first, true);
    add_sources(watchers, relays + first, count - first, false);
}

static void
update_if_members_changed(AprWatchers_t *watchers)
{
    int64_t version = AprMembers_Version(watchers->members);
    int member_count = AprMembers_Count(watchers->members);
    HostRef_t *hosts;
    int count;
    int domains;

    if (version == watchers->members_version) {
        return;
    }
    AprWatchers_Clear(watchers);
    watchers->includes_self = false;
    watchers->self_is_relay = false;
    hosts = calloc((size_t)member_count + 1, sizeof(*hosts));
    watchers->sources =
        calloc((size_t)member_count + 1, sizeof(*watchers->sources));
    if (hosts == NULL || watchers->sources == NULL) {
        AprLog_Write(APR_LOG_ERROR, "watchers_no_memory", "hosts=%d",
                     member_count);
        free(hosts);
        return;
    }
    count = list_registered_hosts(watchers, hosts);
    domains = count_domains(hosts, count);
    if (domains > 0) {
        count =
            select_relays(hosts, count, (MIN_RELAYS + domains - 1) / domains);
        qsort(hosts, (size_t)count, sizeof(*hosts), compare_relays);
        list_sources(watchers, hosts, count);
    }
    watchers->members_version = version;
    free(hosts);
}

/* Returns whether this host watches the store for the others. */
bool
AprWatchers_IncludesSelf(AprWatchers_t *watchers)
{
    update_if_members_changed(watchers);
    return watchers->includes_self;
}

/* Returns whether this host passes changes on to the others. */
bool
AprWatchers_IsRelay(AprWatchers_t *watchers)
{
    update_if_members_changed(watchers);
    return watchers->self_is_relay;
}

/* Returns the name of the host to subscribe to at the given attempt, or NULL
   when there is none. Successive attempts go through all sources and start
   over. The name is valid until the list is computed again after a change of
   the members. */
const char *
AprWatchers_SourceForAttempt(AprWatchers_t *watchers, int attempt)
{
    update_if_members_changed(watchers);
    return watchers->source_count == 0
               ? NULL
               : watchers->sources[attempt % watchers->source_count];
}
