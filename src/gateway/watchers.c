#include "internal/watchers.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "apricot/log.h"

/* Smallest number of hosts that watch the store; there is at least one in each
   failure domain. The other hosts get the items from a watcher, preferably of
   their own domain. Few hosts watch because each change of the store answers
   every watch, and each answer is a call. */
#define MIN_WATCHERS 3

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

/* Frees the list of watchers, but not the struct itself. */
void
AprWatchers_Clear(AprWatchers_t *watchers)
{
    free(watchers->hosts);
    watchers->hosts = NULL;
    watchers->count = 0;
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

/* Adds the first `per_domain` hosts of this host's failure domain if
   `own_domain` is set, otherwise those of each other domain. This host itself
   only sets `includes_self`. */
static void
add_watchers(AprWatchers_t *watchers, HostRef_t *hosts, int count,
             int per_domain, bool own_domain)
{
    int index_in_domain = 0;

    for (int i = 0; i < count; i++) {
        index_in_domain =
            i > 0 && strcmp(hosts[i].host->failure_domain,
                            hosts[i - 1].host->failure_domain) == 0
                ? index_in_domain + 1
                : 0;
        if (index_in_domain >= per_domain ||
            own_domain != (strcmp(hosts[i].host->failure_domain,
                                  watchers->settings->failure_domain) == 0)) {
            continue;
        }
        if (strcmp(hosts[i].host->host, watchers->settings->host) == 0) {
            watchers->includes_self = true;
            continue;
        }
        g_strlcpy(watchers->hosts[watchers->count++], hosts[i].host->host,
                  APR_NAME_SIZE);
    }
}

static void
update_if_members_changed(AprWatchers_t *watchers)
{
    int64_t version = AprMembers_Version(watchers->members);
    int member_count = AprMembers_Count(watchers->members);
    HostRef_t *hosts;
    int count;
    int domains;
    int per_domain;

    if (version == watchers->members_version) {
        return;
    }
    AprWatchers_Clear(watchers);
    watchers->includes_self = false;
    hosts = calloc((size_t)member_count + 1, sizeof(*hosts));
    watchers->hosts =
        calloc((size_t)member_count + 1, sizeof(*watchers->hosts));
    if (hosts == NULL || watchers->hosts == NULL) {
        AprLog_Write(APR_LOG_ERROR, "watchers_no_memory", "hosts=%d",
                     member_count);
        free(hosts);
        return;
    }
    count = list_registered_hosts(watchers, hosts);
    domains = count_domains(hosts, count);
    per_domain = domains == 0 ? 0 : (MIN_WATCHERS + domains - 1) / domains;
    add_watchers(watchers, hosts, count, per_domain, true);
    add_watchers(watchers, hosts, count, per_domain, false);
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

/* Returns the name of the watcher to ask at the given attempt, or NULL when
   there is none. Successive attempts go through the watchers of the own
   failure domain, then through the others, and start over. The name is valid
   until the list is computed again after a change of the members. */
const char *
AprWatchers_ForAttempt(AprWatchers_t *watchers, int attempt)
{
    update_if_members_changed(watchers);
    return watchers->count == 0 ? NULL
                                : watchers->hosts[attempt % watchers->count];
}
