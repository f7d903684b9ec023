#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

static gpointer
link_key(AprLink_t link)
{
    return GUINT_TO_POINTER(link);
}

/* Returns the link to a host of the record or to a seed address, opened on
   first use. NULL when the host is not known. */
AprHostLink_t *
AprLinks_ForHost(AprCore_t *core, const char *host)
{
    AprHostLink_t *link = g_hash_table_lookup(core->links, host);
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
    link->link = AprPeerNet_Open(core->net, link->address);
    if (link->link == APR_NO_LINK) {
        free(link);
        return NULL;
    }
    link->open_rank = APR_MAX_RANKS;
    g_hash_table_insert(core->links, link->host, link);
    g_hash_table_insert(core->links_by_id, link_key(link->link), link);
    return link;
}

/* Opens links to the seed addresses of the settings. They are known under
   ":address" until the record names their hosts. */
void
AprLinks_OpenSeeds(AprCore_t *core)
{
    for (int i = 0; i < core->settings.seed_count; i++) {
        AprHostLink_t *link = calloc(1, sizeof(*link));

        if (link == NULL) {
            return;
        }
        g_strlcpy(link->address, core->settings.seeds[i],
                  sizeof(link->address));
        g_snprintf(link->host, sizeof(link->host), ":%s", link->address);
        link->open_rank = APR_MAX_RANKS;
        link->link = AprPeerNet_Open(core->net, link->address);
        g_hash_table_insert(core->links, link->host, link);
        g_hash_table_insert(core->links_by_id, link_key(link->link), link);
    }
}

/* The link with this handle if this process opened it, else NULL. */
AprHostLink_t *
AprLinks_ById(AprCore_t *core, AprLink_t link)
{
    return g_hash_table_lookup(core->links_by_id, link_key(link));
}

static void
ask_for_state(AprCore_t *core, AprLink_t link)
{
    AprMessage_t message = {0};

    message.type = APR_MSG_RECORD_GET;
    message.text.version = core->record->version;
    AprLinks_Send(core, link, &message);
    message.type = APR_MSG_CONFIG_GET;
    message.text.version = core->generation;
    AprLinks_Send(core, link, &message);
}

/* Notes that a link is up and asks for anything newer, because a process that
   has just started learns the record and the configuration this way while the
   store is down. */
void
AprLinks_OnUp(AprCore_t *core, AprLink_t link, const char *host)
{
    AprHostLink_t *known = AprLinks_ById(core, link);

    if (known == NULL) {
        g_hash_table_replace(core->inbound, link_key(link), g_strdup(host));
        return; /* inbound: the other side asks for state */
    }
    known->mismatch = known->host[0] != ':' && strcmp(known->host, host) != 0;
    if (known->mismatch) {
        AprLog_Write(APR_LOG_WARN, "unexpected-host",
                     "address=%s expected=%s found=%s", known->address,
                     known->host, host);
        return;
    }
    known->up = true;
    ask_for_state(core, link);
}

/* Notes that a link is down. */
void
AprLinks_OnDown(AprCore_t *core, AprLink_t link)
{
    AprHostLink_t *known = AprLinks_ById(core, link);

    if (known != NULL) {
        known->up = false;
        known->open_rank = APR_MAX_RANKS;
    }
    g_hash_table_remove(core->inbound, link_key(link));
}

/* The host at the other end of a link, as its handshake proved it; NULL for a
   link that is not up, or when another host answers at the address, for
   instance after the host was replaced. */
const char *
AprLinks_HostOf(AprCore_t *core, AprLink_t link)
{
    const AprHostLink_t *known = AprLinks_ById(core, link);

    if (known != NULL) {
        return known->mismatch ? NULL : known->host;
    }
    return g_hash_table_lookup(core->inbound, link_key(link));
}

/* Whether the record names a host other than this one. */
static bool
knows_other_members(const AprCore_t *core)
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
is_stale(const AprCore_t *core, const AprHostLink_t *link)
{
    AprMember_t member;

    /* The members replace the seeds. A record that names only this process's
       own earlier incarnation leaves nobody else to ask while the store is
       down. */
    if (link->host[0] == ':') {
        return knows_other_members(core);
    }
    member = AprRecord_FindHost(core->record, link->host);
    return member == APR_NO_MEMBER ||
           strcmp(core->record->members[member].peer_address, link->address) !=
               0;
}

/* Closes links to hosts that left the record or changed their address. */
void
AprLinks_Update(AprCore_t *core)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, core->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        AprHostLink_t *link = value;
        AprLink_t handle = link->link;

        if (!is_stale(core, link)) {
            continue;
        }
        g_hash_table_remove(core->links_by_id, link_key(handle));
        g_hash_table_iter_remove(&iterator);
        AprPeerNet_Close(core->net, handle);
        AprRouter_OnLinkDown(core, handle);
    }
}

/* Sends a copy of a message on a link. Returns APR_E_FULL when the link's
   queue is full; nothing was sent then. */
int
AprLinks_Send(AprCore_t *core, AprLink_t link, const AprMessage_t *message)
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

/* Sends a copy of a message to a host of the record. */
int
AprLinks_SendToHost(AprCore_t *core, const char *host,
                    const AprMessage_t *message)
{
    AprHostLink_t *link = AprLinks_ForHost(core, host);

    if (link == NULL) {
        return APR_E_NOT_FOUND;
    }
    return AprLinks_Send(core, link->link, message);
}

/* Position of a host among the members in record order, or -1. */
static int
member_position(const AprCore_t *core, const char *host)
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

/* Sends a copy of a message to the members below this one in the tree of the
   cell: the member at position p passes on to positions p * fan-out + 1 and
   following. One process that sent to all members would spend more than the
   control limit on configuration alone at the target size. */
void
AprLinks_SendDown(AprCore_t *core, const AprMessage_t *message)
{
    int self = member_position(core, core->settings.host);
    int first = self * APR_TREE_FAN_OUT + 1;
    int position = 0;

    for (int i = 0; self >= 0 && i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *member = &core->record->members[i];

        if (member->state == APR_MEMBER_FREE) {
            continue;
        }
        if (position >= first && position < first + APR_TREE_FAN_OUT) {
            AprLinks_SendToHost(core, member->host, message);
        }
        position++;
    }
}

/* Sends a copy of a message to the root of the tree, the first member. */
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
