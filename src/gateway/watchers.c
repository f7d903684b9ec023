#include "internal/watchers.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "apricot/log.h"

/* At least so many hosts watch the store, and one in each failure domain; the
   others get the items from them, first from one of their own domain. Each
   change answers every watch, and each answer is a call. */
#define MIN_WATCHERS 3

/* Starts with no watchers. */
void
AprWatchers_Init(AprWatchers_t *watchers, AprMembers_t *members,
                 const AprGatewaySettings_t *settings)
{
    memset(watchers, 0, sizeof(*watchers));
    watchers->members = members;
    watchers->settings = settings;
    watchers->version = -1;
}

/* Frees the list. */
void
AprWatchers_Clear(AprWatchers_t *watchers)
{
    free(watchers->names);
    watchers->names = NULL;
    watchers->count = 0;
}

typedef struct HostRef_t {
    const AprHost_t *host;
} HostRef_t;

static uint64_t
order_of(const char *host)
{
    return XXH3_64bits(host, strlen(host));
}

/* Orders hosts by failure domain; in a domain those with the largest capacity
   come first. */
static int
compare_hosts(const void *left_at, const void *right_at)
{
    const AprHost_t *left = ((const HostRef_t *)left_at)->host;
    const AprHost_t *right = ((const HostRef_t *)right_at)->host;
    int domains = strcmp(left->domain, right->domain);
    uint64_t left_order = order_of(left->host);
    uint64_t right_order = order_of(right->host);

    if (domains != 0) {
        return domains;
    }
    if (left->capacity != right->capacity) {
        return left->capacity > right->capacity ? -1 : 1;
    }
    return (left_order > right_order) - (left_order < right_order);
}

/* Lists the hosts with an entry in the store; returns their number. */
static int
list_hosts(AprWatchers_t *watchers, HostRef_t *hosts)
{
    int count = 0;

    for (int i = 0; i < AprMembers_Count(watchers->members); i++) {
        const AprHost_t *host = AprMembers_At(watchers->members, i);

        if (host->listed) {
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
        domains += i == 0 || strcmp(hosts[i].host->domain,
                                    hosts[i - 1].host->domain) != 0;
    }
    return domains;
}

/* Adds the first hosts of each failure domain: those of this host's domain,
   or those of the others. */
static void
add_watchers(AprWatchers_t *watchers, HostRef_t *hosts, int count,
             int per_domain, bool near)
{
    int place = 0;

    for (int i = 0; i < count; i++) {
        place = i > 0 && strcmp(hosts[i].host->domain,
                                hosts[i - 1].host->domain) == 0
                    ? place + 1
                    : 0;
        if (place >= per_domain ||
            near != (strcmp(hosts[i].host->domain,
                            watchers->settings->failure_domain) == 0)) {
            continue;
        }
        if (strcmp(hosts[i].host->host, watchers->settings->host) == 0) {
            watchers->own = true;
            continue;
        }
        g_strlcpy(watchers->names[watchers->count++], hosts[i].host->host,
                  APR_NAME_SIZE);
    }
}

static void
update(AprWatchers_t *watchers)
{
    int64_t version = AprMembers_Version(watchers->members);
    int known = AprMembers_Count(watchers->members);
    HostRef_t *hosts;
    int count;
    int domains;
    int per_domain;

    if (version == watchers->version) {
        return;
    }
    AprWatchers_Clear(watchers);
    watchers->own = false;
    hosts = calloc((size_t)known + 1, sizeof(*hosts));
    watchers->names = calloc((size_t)known + 1, sizeof(*watchers->names));
    if (hosts == NULL || watchers->names == NULL) {
        AprLog_Write(APR_LOG_ERROR, "watchers_no_memory", "hosts=%d", known);
        free(hosts);
        return;
    }
    count = list_hosts(watchers, hosts);
    domains = count_domains(hosts, count);
    per_domain = domains == 0 ? 0 : (MIN_WATCHERS + domains - 1) / domains;
    add_watchers(watchers, hosts, count, per_domain, true);
    add_watchers(watchers, hosts, count, per_domain, false);
    watchers->version = version;
    free(hosts);
}

/* Whether this host watches the store for others. */
bool
AprWatchers_IsOwn(AprWatchers_t *watchers)
{
    update(watchers);
    return watchers->own;
}

/* The watcher to be asked at an attempt, or NULL when there is none: those of
   the own failure domain first, then the others by turns. */
const char *
AprWatchers_At(AprWatchers_t *watchers, int attempt)
{
    update(watchers);
    return watchers->count == 0 ? NULL
                                : watchers->names[attempt % watchers->count];
}
