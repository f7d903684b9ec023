#ifndef APRICOT_INTERNAL_STORE_CACHE_STATE_H
#define APRICOT_INTERNAL_STORE_CACHE_STATE_H

/* State of the local copy of the store, shared by store_cache.c (items),
   item_source.c (where changes come from), registration.c (the entry of this
   host and its lease) and peer_renewals.c (renewal through other hosts). */

#include <glib.h>

#include "internal/freshness.h"
#include "internal/gateway.h"
#include "internal/watchers.h"

/* Store keys of each kind of item, relative to the prefix in the settings. */
#define APR_MEMBER_KEY_PREFIX "hosts/"
#define APR_KEY_MAP_KEY_PREFIX "keys/"
#define APR_FENCE_KEY_PREFIX "fences/"
#define APR_GENERATION_KEY_PREFIX "lives/"
/* Lease of the last registration of a host, which outlives its entry. */
#define APR_LEASE_KEY_PREFIX "leases/"
/* Newest era whose key maps have been written back (docs/store-restore.md). */
#define APR_SETTLED_ERA_KEY "era"

#define APR_CACHE_KEY_SIZE 200

typedef struct AprItem_t {
    char *key;
    char *value;
    size_t value_size;
    int64_t revision;
    int64_t lease;
    int64_t change_sequence; /* order in which changes reached this process */
    bool removed;
    bool seen_in_reload;
} AprItem_t;

/* Initial read, in pages, and watch of the keys with a prefix. */
typedef struct AprWatch_t {
    AprStoreCache_t *cache;
    char prefix[APR_CACHE_KEY_SIZE];
    bool loaded;  /* all pages were read */
    bool loading; /* some pages were read */
    bool call_pending;
    int64_t answered_ms; /* as of when the store has answered; 0: never */
    int64_t call_sent_ms;
    int64_t reload_sent_ms;                 /* call for the first page */
    int64_t reload_revision;                /* lowest revision of the pages */
    char last_page_key[APR_CACHE_KEY_SIZE]; /* the next page starts after it */
    int64_t cursor; /* revision up to which changes are known */
    int failures;   /* in a row */
    int64_t next_call_ms;
} AprWatch_t;

typedef enum AprLeaseStep_t {
    APR_LEASE_NONE, /* a lease must be requested */
    APR_LEASE_REQUESTED,
    APR_LEASE_GRANTED, /* the entry must be written, and the fence removed */
    APR_LEASE_READING_ENTRY,
    APR_LEASE_WRITING_ENTRY,
    APR_LEASE_REGISTERED /* the entry is stored; the lease must be renewed */
} AprLeaseStep_t;

/* Requests to other hosts to renew the lease that are remembered. Answers to
   earlier ones come too late to be of use. */
#define APR_MAX_PEER_REQUESTS 8

/* Request to another host to renew the lease of this one. */
typedef struct AprPeerRequest_t {
    int64_t id; /* negative; 0: none */
    int64_t lease;
    int64_t sent_ms;
} AprPeerRequest_t;

/* The entry of this host in the store and its lease. */
typedef struct AprRegistration_t {
    AprLeaseStep_t step;
    bool started;       /* an earlier process's entry was looked for */
    bool resumed;       /* the entry was written by an earlier process */
    int64_t started_ms; /* when the store was read for the first time */
    int64_t lease_id;
    int lease_failures; /* in a row */
    int64_t next_lease_call_ms;
    bool renewal_pending;         /* of the present lease */
    int64_t entry_sent_ms;        /* last write of the entry */
    int64_t last_renewal_sent_ms; /* of the last success; 0: none */
    int next_renewal_peer;        /* counts up; modulo the member count */
    AprPeerRequest_t peer_requests[APR_MAX_PEER_REQUESTS];
    unsigned next_peer_request; /* counts up; modulo the size */
    bool entry_changed;         /* the stored entry is out of date */
    /* Revision of the stored entry, a condition of the next write. 0: none */
    int64_t entry_revision;
    int64_t
        entry_known_revision; /* store revision up to which that is known */
    /* A write was refused or its outcome is unknown: the entry must be read
       before it is written again. */
    bool entry_uncertain;
    char *stored_entry;      /* NULL: none */
    bool writing_lease_item; /* with the entry that is being written */
    bool lease_item_missing; /* it was removed, or not found at the start */
    int64_t lease_item_revision; /* of the last own write; 0: none */
    char *pending_entry;         /* being written */
    bool pending_is_new;         /* it is the first one under its lease */
    bool writing_generation;     /* the pending write stores a generation */
} AprRegistration_t;

struct AprStoreCache_t {
    AprGateway_t *gateway;
    AprItem_t *items;
    GHashTable *item_index; /* key -> index in `items` */
    int item_count;
    int item_capacity;
    int64_t last_change_sequence;
    int64_t forwarded_sequence; /* last change passed on to other hosts */
    /* `source_confirmed_ms` when it was last passed on */
    int64_t forwarded_confirmed_ms;
    /* The operators' configuration; with evacuation, all items of theirs. */
    AprWatch_t config_watch;
    AprWatch_t prefix_watch; /* all keys with the prefix of the settings */
    AprRegistration_t registration;
    int64_t store_answered_ms;
    bool store_lost;
    int64_t peer_revision; /* up to which other hosts sent all items */
    /* Latest time at which a host that watches the store was known to have all
       items; directly or through other hosts. 0: none. */
    int64_t source_confirmed_ms;
    int64_t subscribed_ms;
    AprWatchers_t watchers;
    int64_t source_since_ms; /* first use of the present source; 0: none yet */
    int source_attempt;      /* selects the host to subscribe to */
    char source[APR_NAME_SIZE]; /* present source; "": none */
    /* Host that sent the items being applied; "": the store. */
    char applying_from[APR_NAME_SIZE];
    bool watching_store;
    bool source_heard; /* another host had recent items since this host began
                          or ended to watch */
    /* A watch or another host has confirmed the items after the first read. */
    bool changes_heard;
    bool discovery_pending;
    int64_t next_discovery_ms;
    int64_t unknown_route_log_ms; /* last log line about one; 0: none */
    int64_t loaded_ms;            /* when all items were first read */
    int64_t awaited_revision;     /* newest of the other hosts; 0: own one */
    int64_t behind_since_ms;      /* when `awaited_revision` was set */
    bool stopping;
};

int64_t AprStoreCache_NowMs(const AprStoreCache_t *cache);
int64_t AprStoreCache_RandomBackoffMs(int failures);
void AprStoreCache_CheckEra(AprStoreCache_t *cache);
void AprStoreCache_RecordStoreResult(AprStoreCache_t *cache, int code);
const AprItem_t *AprStoreCache_FindItem(AprStoreCache_t *cache,
                                        const char *key);
void AprStoreCache_MarkSeen(AprStoreCache_t *cache, const char *key);
void AprStoreCache_ApplyRemoteItem(AprStoreCache_t *cache,
                                   const AprKvItem_t *update);

/* Where changes come from (item_source.c). */
void AprItemSource_Update(AprStoreCache_t *cache);
int64_t AprItemSource_AgeMs(const AprStoreCache_t *cache);
void AprItemSource_ConfirmByPeer(AprStoreCache_t *cache, const char *host,
                                 int64_t age_ms);
void AprItemSource_Forward(AprStoreCache_t *cache);

/* Entry and lease of this host (registration.c). */
int64_t AprRegistration_RenewIntervalMs(const AprStoreCache_t *cache);
void AprRegistration_Advance(AprStoreCache_t *cache);
void AprRegistration_OnOwnEntry(AprStoreCache_t *cache);
void AprRegistration_OnOwnLeaseItem(AprStoreCache_t *cache);
void AprRegistration_ExtendAuthority(AprStoreCache_t *cache, int64_t sent_ms);
void AprRegistration_ExtendAuthorityInOutage(AprStoreCache_t *cache);
void AprRegistration_Clear(AprStoreCache_t *cache);

/* Renewal of the lease through another host (peer_renewals.c). */
void AprPeerRenewals_Request(AprStoreCache_t *cache);

#endif
