/* Memory and descriptors that the process holds for its peers: measurement,
   and the connections that are closed at the limit. */

#include <string.h>
#include <sys/resource.h>

#include "apricot/log.h"
#include "internal/exchange.h"

/* Least time between two log lines about limits. */
#define LOG_INTERVAL_MS 1000

/* Time without progress after which a caller is closed for others, as at the
   limit of descriptors. */
#define STALLED_CALLER_MS 2000

/* When closing a connection frees less, no further one is closed before the
   next bytes are read. */
#define MIN_FREED_BYTES 4096

/* The kinds of peers that are not read at a limit, and how logs and metrics
   name them. */
static const struct {
    AprMemoryKind_t kind;
    const char *name;
    const char *label;
} limited_kinds[] = {{APR_MEMORY_BACKEND, "backend", "kind=\"backend\""},
                     {APR_MEMORY_STORE, "store", "kind=\"store\""}};

static void make_room(void *context);

/* Derives the limits from the settings, and the descriptors also from what the
   kernel allows to the process. */
void
AprResources_Init(AprGateway_t *gateway)
{
    double descriptors = gateway->settings.descriptors;
    AprStreamSet_t *streams = gateway->streams;
    struct rlimit limit;

    if (descriptors > 0 && getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
        limit.rlim_cur != RLIM_INFINITY &&
        (double)limit.rlim_cur < descriptors) {
        descriptors = (double)limit.rlim_cur;
    }
    AprMemoryBudget_Init(&gateway->memory_budget, gateway->settings.memory_mb,
                         descriptors);
    streams->receive_window_bytes =
        AprMemoryBudget_ReceiveWindowBytes(&gateway->memory_budget);
    streams->make_room = make_room;
    streams->make_room_context = gateway;
}

/* Detaches the limits from the streams, which outlive the gateway. */
void
AprResources_Free(AprGateway_t *gateway)
{
    if (gateway->streams->make_room_context == gateway) {
        gateway->streams->make_room = NULL;
        for (size_t i = 0; i < G_N_ELEMENTS(limited_kinds); i++) {
            AprStreamSet_SetKindPaused(gateway->streams, limited_kinds[i].kind,
                                       false);
        }
    }
}

/* Measures the buffers. To be called before a decision of the budget. */
void
AprResources_Update(AprGateway_t *gateway)
{
    gateway->memory_budget.held =
        AprBuffer_TotalCapacity() + gateway->head_bytes;
}

/* Stops or resumes reading from the kinds of peers that are limited. */
static void
update_kinds(AprGateway_t *gateway)
{
    AprMemoryBudget_t *budget = &gateway->memory_budget;
    AprStreamSet_t *streams = gateway->streams;

    for (size_t i = 0; i < G_N_ELEMENTS(limited_kinds); i++) {
        AprMemoryKind_t kind = limited_kinds[i].kind;

        if (!AprMemoryBudget_UpdateKind(budget, kind,
                                        streams->received_by_kind[kind])) {
            continue;
        }
        AprStreamSet_SetKindPaused(streams, kind, budget->kind_paused[kind]);
        if (budget->kind_paused[kind]) {
            AprGateway_IncrementCounter(gateway, "memory_read_pauses_total",
                                        limited_kinds[i].label);
        }
    }
}

void
AprResources_CountClosed(AprGateway_t *gateway, const char *reason)
{
    if (strcmp(reason, "memory") == 0) {
        gateway->closed_for_memory++;
        AprGateway_IncrementCounter(gateway, "connections_closed_total",
                                    "reason=\"memory\"");
    }
    else {
        gateway->closed_for_descriptors++;
        AprGateway_IncrementCounter(gateway, "connections_closed_total",
                                    "reason=\"descriptors\"");
    }
}

/* Closes the connection of a caller, whose bytes in the kernel are freed, too.
 */
static void
drop_caller(AprGateway_t *gateway, AprCallerConn_t *caller)
{
    size_t *unread = &gateway->memory_budget.unread;

    if (caller->stream != NULL) {
        *unread -= MIN(*unread, AprStream_CountUnread(caller->stream));
    }
    AprResources_CountClosed(gateway, "memory");
    AprIngress_Drop(caller);
}

/* Refuses the queued request, or closes the connection, for which most is held
   for the longest time without progress. Returns whether there is one. */
static bool
free_largest(AprGateway_t *gateway)
{
    int64_t now_ms = AprGateway_NowMs(gateway);
    AprCallerConn_t *caller;
    uint64_t queued_id = 0;
    double draining_score;
    double caller_score =
        AprIngress_FindLargest(gateway->ingress, now_ms, &caller);
    double queued_score =
        AprBackend_FindLargestQueued(gateway->backend, now_ms, &queued_id);
    AprStream_t *draining =
        AprStreamSet_FindDraining(gateway->streams, now_ms, &draining_score);

    if (queued_score > 0 && queued_score >= caller_score &&
        queued_score >= draining_score) {
        AprGateway_IncrementCounter(gateway, "calls_refused_total",
                                    "reason=\"memory\"");
        AprBackend_RefuseQueued(gateway->backend, queued_id);
        return true;
    }
    if (draining_score > caller_score) {
        AprResources_CountClosed(gateway, "memory");
        AprStream_Abort(draining);
        return true;
    }
    if (caller != NULL) {
        drop_caller(gateway, caller);
        return true;
    }
    return false;
}

/* Frees memory until what is held is within the limit. Ends when closing a
   connection frees little, as bytes that a link has not sent yet stay. */
static void
make_room(void *context)
{
    AprGateway_t *gateway = context;

    AprMemoryBudget_t *budget = &gateway->memory_budget;
    size_t before;

    update_kinds(gateway);
    AprResources_Update(gateway);
    while (AprMemoryBudget_MustShed(budget)) {
        before = AprMemoryBudget_Total(budget);
        if (!free_largest(gateway)) {
            return;
        }
        AprResources_Update(gateway);
        if (AprMemoryBudget_Total(budget) + MIN_FREED_BYTES > before) {
            return;
        }
    }
}

/* While the backend server is not read because callers do not take its
   responses, closes the connection that holds the most, if it has made no
   progress for STALLED_CALLER_MS. */
static void
drop_stalled_caller(AprGateway_t *gateway)
{
    int64_t now_ms = AprGateway_NowMs(gateway);
    AprCallerConn_t *caller;

    if (gateway->memory_budget.kind_paused[APR_MEMORY_BACKEND] &&
        AprIngress_FindLargest(gateway->ingress, now_ms, &caller) > 0 &&
        caller != NULL &&
        AprMemoryHolder_StalledMs(&caller->holder, now_ms) >=
            STALLED_CALLER_MS) {
        drop_caller(gateway, caller);
    }
}

static void
set_gauge(AprGateway_t *gateway, const char *name, const char *labels,
          int64_t value)
{
    AprMetric_t *metric =
        AprMetrics_RegisterGauge(gateway->metrics, name, labels, "");

    if (metric != NULL) {
        AprMetric_Set(metric, value);
    }
}

static void
update_metrics(AprGateway_t *gateway)
{
    static const char *const labels[APR_MEMORY_KIND_COUNT] = {
        "kind=\"callers\"", "kind=\"backend\"", "kind=\"peers\"",
        "kind=\"store\"", "kind=\"other\""};
    AprMemoryBudget_t *budget = &gateway->memory_budget;
    size_t *by_kind = budget->held_by_kind;
    size_t known;

    by_kind[APR_MEMORY_BACKEND] = AprBackend_HeldBytes(gateway->backend);
    by_kind[APR_MEMORY_PEERS] = AprLinks_HeldBytes(gateway->links);
    by_kind[APR_MEMORY_STORE] =
        gateway->streams->received_by_kind[APR_MEMORY_STORE];
    known = by_kind[APR_MEMORY_CALLERS] + by_kind[APR_MEMORY_BACKEND] +
            by_kind[APR_MEMORY_PEERS] + by_kind[APR_MEMORY_STORE];
    by_kind[APR_MEMORY_OTHER] =
        known < budget->held ? budget->held - known : 0;
    for (int i = 0; i < APR_MEMORY_KIND_COUNT; i++) {
        set_gauge(gateway, "memory_held_bytes", labels[i],
                  (int64_t)by_kind[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(limited_kinds); i++) {
        AprMemoryKind_t kind = limited_kinds[i].kind;

        set_gauge(gateway, "memory_received_bytes", limited_kinds[i].label,
                  (int64_t)gateway->streams->received_by_kind[kind]);
        set_gauge(gateway, "memory_received_limit_bytes",
                  limited_kinds[i].label,
                  (int64_t)AprMemoryBudget_KindLimit(budget, kind));
    }
    set_gauge(gateway, "memory_unread_bytes", "", (int64_t)budget->unread);
    set_gauge(gateway, "memory_limit_bytes", "", (int64_t)budget->limit);
    set_gauge(gateway, "sockets_open", "", gateway->streams->open_count);
    set_gauge(gateway, "sockets_limit", "", budget->socket_limit);
}

static void
log_limits(AprGateway_t *gateway, int64_t now_ms)
{
    const AprMemoryBudget_t *budget = &gateway->memory_budget;
    bool closed =
        gateway->closed_for_memory > 0 || gateway->closed_for_descriptors > 0;

    if (!closed && !AprMemoryBudget_IsTight(budget)) {
        return;
    }
    AprLog_Write(APR_LOG_WARN, "limits_reached",
                 "held=%zu unread=%zu limit=%zu callers=%zu backend=%zu "
                 "peers=%zu sockets=%d closed_memory=%lld "
                 "closed_descriptors=%lld",
                 budget->held, budget->unread, budget->limit,
                 budget->held_by_kind[APR_MEMORY_CALLERS],
                 budget->held_by_kind[APR_MEMORY_BACKEND],
                 budget->held_by_kind[APR_MEMORY_PEERS],
                 gateway->streams->open_count,
                 (long long)gateway->closed_for_memory,
                 (long long)gateway->closed_for_descriptors);
    gateway->closed_for_memory = 0;
    gateway->closed_for_descriptors = 0;
    gateway->last_limit_log_ms = now_ms;
}

static void
log_kinds(const AprGateway_t *gateway)
{
    const AprMemoryBudget_t *budget = &gateway->memory_budget;

    for (size_t i = 0; i < G_N_ELEMENTS(limited_kinds); i++) {
        AprMemoryKind_t kind = limited_kinds[i].kind;

        if (budget->kind_paused[kind]) {
            AprLog_Write(APR_LOG_WARN, "kind_limit_reached",
                         "kind=%s received=%zu limit=%zu",
                         limited_kinds[i].name,
                         gateway->streams->received_by_kind[kind],
                         AprMemoryBudget_KindLimit(budget, kind));
        }
    }
}

/* Measures what is held, frees memory beyond the limit, and once a second
   updates the metrics and logs that a limit was reached. */
void
AprResources_Tick(AprGateway_t *gateway)
{
    int64_t now_ms = AprGateway_NowMs(gateway);

    gateway->memory_budget.unread =
        AprStreamSet_Measure(gateway->streams, now_ms);
    make_room(gateway);
    drop_stalled_caller(gateway);
    if (now_ms - gateway->last_limit_log_ms >= LOG_INTERVAL_MS) {
        gateway->last_limit_log_ms = now_ms;
        update_metrics(gateway);
        log_kinds(gateway);
        log_limits(gateway, now_ms);
    }
}
