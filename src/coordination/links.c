#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

static gpointer
make_link_key(AprLinkHandle_t link)
{
    return GUINT_TO_POINTER(link);
}

/* Returns the link to a host of the record, and opens it on first use; or the
   link of a seed under its ":address" name. The core owns the link. Returns
   NULL for an unknown host, for this host and on failure to open the link. */
AprOutboundLink_t *
AprLinks_OpenForHost(AprCore_t *core, const char *host)
{
    AprOutboundLink_t *link = g_hash_table_lookup(core->links, host);
    AprMember_t member;

    if (link != NULL) {
        return link;
    }
    member = AprRecord_FindHost(core->record, host);
    if (member == APR_NO_MEMBER || strcmp(host, core->settings.host) == 0) {
        return NULL;
    }
    link = calloc(1, sizeof(*link));
    if (link == NULL) {
        return NULL;
    }
    g_strlcpy(link->host, host, sizeof(link->host));
    g_strlcpy(link->address, core->record->members[member].peer_address,
              sizeof(link->address));
    link->link = AprPeerNet_OpenLink(core->net, link->address);
    if (link->link == APR_NO_LINK) {
        free(link);
        return NULL;
    }
    link->least_urgent_open_rank = APR_MAX_RANKS;
    g_hash_table_insert(core->links, link->host, link);
    g_hash_table_insert(core->links_by_id, make_link_key(link->link), link);
    return link;
}

/* Opens links to the seed addresses of the settings that have none. They are
   stored under the name ":address", because the host at a seed address is not
   known. */
void
AprLinks_OpenSeeds(AprCore_t *core)
{
    for (int i = 0; i < core->settings.seed_count; i++) {
        AprOutboundLink_t *link = calloc(1, sizeof(*link));

        if (link == NULL) {
            return;
        }
        g_strlcpy(link->address, core->settings.seeds[i],
                  sizeof(link->address));
        g_snprintf(link->host, sizeof(link->host), ":%s", link->address);
        if (g_hash_table_contains(core->links, link->host)) {
            free(link);
            continue;
        }
        link->least_urgent_open_rank = APR_MAX_RANKS;
        link->link = AprPeerNet_OpenLink(core->net, link->address);
        g_hash_table_insert(core->links, link->host, link);
        g_hash_table_insert(core->links_by_id, make_link_key(link->link),
                            link);
    }
}

/* Returns the link with this handle, or NULL for one that a peer opened. */
AprOutboundLink_t *
AprLinks_FindById(AprCore_t *core, AprLinkHandle_t link)
{
    return g_hash_table_lookup(core->links_by_id, make_link_key(link));
}

static void
request_record_and_config(AprCore_t *core, AprLinkHandle_t link)
{
    AprMessage_t message = {0};

    message.type = APR_MSG_RECORD_GET;
    message.text.version = core->record->version;
    AprLinks_Send(core, link, &message);
    message.type = APR_MSG_CONFIG_GET;
    message.text.version = core->max_generation;
    AprLinks_Send(core, link, &message);
}

/* Records that a link to `host` is up. On a link that this process opened,
   also requests newer versions of record and configuration: a process that has
   just started gets them this way while the store is down. */
void
AprLinks_OnUp(AprCore_t *core, AprLinkHandle_t link, const char *host)
{
    AprOutboundLink_t *known = AprLinks_FindById(core, link);

    if (known == NULL) {
        g_hash_table_replace(core->inbound, make_link_key(link),
                             g_strdup(host));
        return; /* inbound: the peer requests record and configuration */
    }
    known->host_mismatch =
        known->host[0] != ':' && strcmp(known->host, host) != 0;
    if (known->host_mismatch) {
        AprLog_Write(APR_LOG_WARN, "unexpected-host",
                     "address=%s expected=%s found=%s", known->address,
                     known->host, host);
        return;
    }
    known->up = true;
    request_record_and_config(core, link);
}

/* Records that a link is down, and drops the overload hint of its host. */
void
AprLinks_OnDown(AprCore_t *core, AprLinkHandle_t link)
{
    AprOutboundLink_t *known = AprLinks_FindById(core, link);

    if (known != NULL) {
        known->up = false;
        known->least_urgent_open_rank = APR_MAX_RANKS;
    }
    g_hash_table_remove(core->inbound, make_link_key(link));
}

/* Returns the name of the host at the other end of a link as its handshake
   proved it, and ":address" for a seed. Returns NULL for an unknown link, and
   when another host answers at the address, for example after the host was
   replaced. */
const char *
AprLinks_FindHost(AprCore_t *core, AprLinkHandle_t link)
{
    const AprOutboundLink_t *known = AprLinks_FindById(core, link);

    if (known != NULL) {
        return known->host_mismatch ? NULL : known->host;
    }
    return g_hash_table_lookup(core->inbound, make_link_key(link));
}

/* Returns whether the record contains a host other than this one. */
static bool
record_has_other_members(const AprCore_t *core)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *member = &core->record->members[i];

        if (member->state != APR_MEMBER_FREE &&
            strcmp(member->host, core->settings.host) != 0) {
            return true;
        }
    }
    return false;
}

static bool
is_link_stale(const AprCore_t *core, const AprOutboundLink_t *link)
{
    AprMember_t member;

    /* Links to the members replace those to the seeds. While the record
       contains only an earlier incarnation of this process, the seeds stay:
       there is no other peer to query while the store is down. */
    if (link->host[0] == ':') {
        return record_has_other_members(core);
    }
    member = AprRecord_FindHost(core->record, link->host);
    return member == APR_NO_MEMBER ||
           strcmp(core->record->members[member].peer_address, link->address) !=
               0;
}

/* Closes links to hosts that left the record or changed their address, and
   those to the seeds once the record contains another host. */
void
AprLinks_CloseStale(AprCore_t *core)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, core->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        AprOutboundLink_t *link = value;
        AprLinkHandle_t handle = link->link;

        if (!is_link_stale(core, link)) {
            continue;
        }
        g_hash_table_remove(core->links_by_id, make_link_key(handle));
        g_hash_table_iter_remove(&iterator);
        AprPeerNet_CloseLink(core->net, handle);
        AprRouter_OnLinkDown(core, handle);
    }
}

/* Sends a copy of a message over a link. On an error, such as APR_E_FULL when
   the link's queue is full, nothing was sent. */
int
AprLinks_Send(AprCore_t *core, AprLinkHandle_t link,
              const AprMessage_t *message)
{
    AprMessage_t *copy = AprMessage_Copy(message);
    int code;

    if (copy == NULL) {
        return APR_E_NOMEM;
    }
    code = AprPeerNet_Send(core->net, link, copy);
    if (code != APR_OK) {
        AprMessage_Free(copy);
    }
    return code;
}

/* Sends a copy of a message to a host of the record. Returns APR_E_NOT_FOUND
   when there is no link to it. */
int
AprLinks_SendToHost(AprCore_t *core, const char *host,
                    const AprMessage_t *message)
{
    AprOutboundLink_t *link = AprLinks_OpenForHost(core, host);

    if (link == NULL) {
        return APR_E_NOT_FOUND;
    }
    return AprLinks_Send(core, link->link, message);
}

/* Returns the position of a host among the members in record order, or -1. */
static int
find_member_position(const AprCore_t *core, const char *host)
{
    int position = 0;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *member = &core->record->members[i];

        if (member->state == APR_MEMBER_FREE) {
            continue;
        }
        if (strcmp(member->host, host) == 0) {
            return position;
        }
        position++;
    }
    return -1;
}

/* Sends a copy of a message to the children of this member in the cell's
   distribution tree. The children of the member at position p are at the
   APR_DISTRIBUTION_FAN_OUT positions from p * APR_DISTRIBUTION_FAN_OUT + 1. A
   process that sent to all members would exceed the limit on control traffic
   with the configuration alone at the target size. */
void
AprLinks_SendToChildren(AprCore_t *core, const AprMessage_t *message)
{
    int self = find_member_position(core, core->settings.host);
    int first = self * APR_DISTRIBUTION_FAN_OUT + 1;
    int position = 0;

    for (int i = 0; self >= 0 && i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *member = &core->record->members[i];

        if (member->state == APR_MEMBER_FREE) {
            continue;
        }
        if (position >= first && position < first + APR_DISTRIBUTION_FAN_OUT) {
            AprLinks_SendToHost(core, member->host, message);
        }
        position++;
    }
}

/* Sends a copy of a message to the first member of the record, which is the
   root of the distribution tree. */
void
AprLinks_SendToRoot(AprCore_t *core, const AprMessage_t *message)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (core->record->members[i].state != APR_MEMBER_FREE) {
            AprLinks_SendToHost(core, core->record->members[i].host, message);
            return;
        }
    }
}
