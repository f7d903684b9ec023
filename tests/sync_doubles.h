#ifndef APRICOT_TESTS_SYNC_DOUBLES_H
#define APRICOT_TESTS_SYNC_DOUBLES_H

/* Test doubles of the peer network and the store, and the simulation that
   drives them. Only one file of a program may include this header, because it
   defines functions of the library's interface. */
#include "tests/sync_fixture.h"

constexpr int kTickMs = 10;
constexpr int kStoreTimeoutMs = 300;
/* The core derives incarnations from the wall clock. */
constexpr int64_t kWallClockBaseMs = 1700000000000;

static struct timespec
monotonic_now(void *context)
{
    return AprTime_FromMs(static_cast<Cell *>(context)->now_ms);
}

static struct timespec
wall_now(void *context)
{
    return AprTime_FromMs(kWallClockBaseMs +
                          static_cast<Cell *>(context)->now_ms);
}

inline void
Cell::start_process(Process &process)
{
    AprSettings_t settings = {};
    AprClock_t clock = {monotonic_now, wall_now, this};
    g_snprintf(settings.host, sizeof(settings.host), "host%d", process.index);
    g_strlcpy(settings.cell, "cell", sizeof(settings.cell));
    g_snprintf(settings.failure_domain, sizeof(settings.failure_domain),
               "domain%d", process.index);
    g_strlcpy(settings.region, "local", sizeof(settings.region));
    g_snprintf(settings.advertise_peers, sizeof(settings.advertise_peers),
               "127.0.0.1:%d", 7000 + process.index);
    g_strlcpy(settings.advertise_admin, "127.0.0.1:1",
              sizeof(settings.advertise_admin));
    g_strlcpy(settings.advertise_callers, "127.0.0.1:2",
              sizeof(settings.advertise_callers));
    settings.lease_renew_ms = 250;
    settings.lease_promise_ms = 900;
    settings.backend_slots = 6;
    settings.backend_connections = 60;
    for (const Process &peer : processes) {
        if (peer.index != process.index) {
            g_snprintf(settings.seeds[settings.seed_count++],
                       sizeof(settings.seeds[0]), "127.0.0.1:%d",
                       7000 + peer.index);
        }
    }
    process.epoch++;
    process.record_version = 0;
    process.config_generations.clear();
    process.store_worker = {this, process.index, false, 0, 0, {}};
    process.core = AprCore_New(&settings, &clock);
    process.core->net = &process.net;
    process.core->store = &process.store_worker;
    schedule_for_process(process.index, random_uniform(0, kTickMs),
                         [this](Process &self) { tick_process(self); });
}

/* Frees the core with all its state and breaks the links of the process. */
inline void
Cell::stop_process(Process &process)
{
    AprCore_t *core = process.core;
    if (core == nullptr) {
        return;
    }
    process.core = nullptr;
    process.epoch++;
    g_queue_clear_full(&core->pending_changes, free);
    AprCore_Free(core);
    for (auto item = links_.begin(); item != links_.end();) {
        AprLinkHandle_t id = item->first;
        Link &link = item->second;
        if (link.from == process.index) {
            if (link.up && processes[size_t(link.to)].core != nullptr) {
                AprLinks_OnDown(processes[size_t(link.to)].core, id * 2 + 1);
            }
            item = links_.erase(item);
            continue;
        }
        if (link.to == process.index && link.up) {
            link.up = false;
            AprLinks_OnDown(processes[size_t(link.from)].core, id * 2);
            schedule(20, [this, id] { connect_link(id); });
        }
        ++item;
    }
}

inline void
Cell::run_until(int64_t end_ms)
{
    while (now_ms < end_ms) {
        now_ms++;
        while (!scheduled_actions_.empty() &&
               scheduled_actions_.begin()->first <= now_ms) {
            std::function<void()> action = scheduled_actions_.begin()->second;
            scheduled_actions_.erase(scheduled_actions_.begin());
            action();
        }
        if (now_ms % kTickMs == 0) {
            on_tick();
        }
    }
}

inline void
Cell::tick_process(Process &process)
{
    AprCore_t *core = process.core;
    AprMembership_Tick(core);
    AprRemovalTask_Tick(core);
    AprRecordSync_Tick(core);
    AprConfigSync_Tick(core);
    AprHandover_Tick(core);
    deliver_watch_events(process);
    schedule_for_process(process.index, kTickMs,
                         [this](Process &self) { tick_process(self); });
}

inline AprLinkHandle_t
Cell::open_link(int from, const char *address)
{
    AprLinkHandle_t id = next_link_++;
    links_[id] = {from, atoi(strchr(address, ':') + 1) - 7000, false};
    schedule(random_uniform(1, 5), [this, id] { connect_link(id); });
    return id * 2;
}

inline void
Cell::connect_link(AprLinkHandle_t id)
{
    auto item = links_.find(id);
    if (item == links_.end() || item->second.up) {
        return;
    }
    Link &link = item->second;
    char host[APR_NAME_SIZE];
    if (processes[size_t(link.to)].core == nullptr) {
        schedule(50, [this, id] { connect_link(id); });
        return;
    }
    link.up = true;
    g_snprintf(host, sizeof(host), "host%d", link.from);
    AprLinks_OnUp(processes[size_t(link.to)].core, id * 2 + 1, host);
    g_snprintf(host, sizeof(host), "host%d", link.to);
    AprLinks_OnUp(processes[size_t(link.from)].core, id * 2, host);
}

inline void
Cell::close_link(AprLinkHandle_t handle)
{
    auto item = links_.find(handle / 2);
    if (item == links_.end()) {
        return;
    }
    Link link = item->second;
    links_.erase(item);
    if (link.up) {
        schedule_for_process(link.to, 1, [handle](Process &peer) {
            AprLinks_OnDown(peer.core, handle / 2 * 2 + 1);
        });
    }
}

/* Takes ownership of the message. Drops or delays some messages while failures
   are injected. */
inline void
Cell::send_message(int from, AprLinkHandle_t handle, AprMessage_t *message)
{
    std::shared_ptr<AprMessage_t> shared_message(message, AprMessage_Free);
    auto item = links_.find(handle / 2);
    if (item == links_.end() || !item->second.up ||
        (inject_failures && random_chance(message_loss_percent))) {
        return;
    }
    bool reply = handle % 2 == 1;
    int to = reply ? item->second.from : item->second.to;
    int64_t delay = inject_failures && random_chance(10)
                        ? random_uniform(5, 1000)
                        : random_uniform(1, 3);
    (void)from;
    schedule_for_process(
        to, delay, [this, handle, shared_message](Process &peer) {
            auto current = links_.find(handle / 2);
            if (current != links_.end() && current->second.up) {
                AprCore_OnPeerMessage(peer.core, handle ^ 1u,
                                      AprMessage_Copy(shared_message.get()));
            }
        });
}

/* Writes a record to the store and adds its hashes to `bound_hashes`. */
inline void
Cell::commit_record(const std::string &text)
{
    auto record = std::make_unique<AprRecord_t>();
    AprError_t error = {};
    if (AprRecord_FromJson(text.data(), text.size(), record.get(), &error) !=
        APR_OK) {
        abort(); /* the core wrote an invalid record */
    }
    store.record_text = text;
    store.record_version = record->version;
    store.record_revision++;
    for (int i = 0; i < record->service_count; i++) {
        for (int slot = 0; slot < APR_HOT_SLOTS; slot++) {
            if (record->services[i].hot_slot_used[slot]) {
                store.bound_hashes.insert(
                    record->services[i].hot_slot_key_hash[slot]);
            }
        }
    }
}

/* Starts the first job of the queue. While failures are injected, the job can
   fail, its response can be late or lost, and a swap can take effect only
   after the caller timed out. */
inline void
Cell::start_job(AprStoreWorker_t *worker)
{
    const AprStoreWorker_t::Job job = worker->jobs.front();
    bool swap = job.type == APR_JOB_SWAP_RECORD;
    int failure_roll = inject_failures ? int(random_uniform(1, 100)) : 100;
    int64_t delay = inject_failures && random_chance(10)
                        ? random_uniform(5, 290)
                        : random_uniform(1, 4);
    bool applied_late = swap && failure_roll <= 10;
    bool response_lost = failure_roll <= 20;
    auto swap_record = [this, job] {
        if (!store.down && store.record_revision == job.revision) {
            commit_record(job.text);
            return APR_OK;
        }
        return store.down ? APR_E_UNAVAILABLE : APR_E_CONFLICT;
    };
    if (applied_late) {
        schedule(random_uniform(kStoreTimeoutMs, 2000),
                 [swap_record] { swap_record(); });
    }
    auto result = std::make_shared<int>(APR_E_UNKNOWN_OUTCOME);
    auto snapshot = std::make_shared<Store>();
    schedule(delay, [this, swap, applied_late, swap_record, result, snapshot] {
        if (swap && !applied_late) {
            *result = swap_record();
        }
        else if (!swap) {
            *result = store.down ? APR_E_UNAVAILABLE : APR_OK;
        }
        *snapshot = store;
    });
    schedule_for_process(
        worker->process_index,
        response_lost ? kStoreTimeoutMs : delay + random_uniform(1, 3),
        [this, swap, response_lost, result, snapshot](Process &process) {
            int code = !response_lost ? *result
                       : swap         ? APR_E_UNKNOWN_OUTCOME
                                      : APR_E_UNAVAILABLE;
            finish_job(process, code, *snapshot);
        });
}

inline void
Cell::finish_job(Process &process, int code, const Store &snapshot)
{
    AprStoreWorker_t *worker = &process.store_worker;
    AprStoreResult_t result = {};
    std::vector<AprServiceConfigText_t> configs;
    result.type = worker->jobs.front().type;
    result.code = code;
    result.revision = snapshot.record_revision;
    if (!snapshot.record_text.empty()) {
        result.data = const_cast<char *>(snapshot.record_text.data());
        result.size = snapshot.record_text.size();
    }
    for (const auto &item : snapshot.configs) {
        configs.push_back({const_cast<char *>(item.second.second.data()),
                           item.second.second.size()});
    }
    result.configs = configs.data();
    result.config_count = int(configs.size());
    worker->jobs.pop_front();
    if (!worker->jobs.empty()) {
        start_job(worker);
    }
    if (result.type == APR_JOB_READ_CONFIG) {
        AprConfigSync_OnStoreResult(process.core, &result);
    }
    else {
        AprRecordSync_OnStoreResult(process.core, &result);
    }
}

/* Delivers the changes since the last delivery. While failures are injected,
   only one tick in five delivers, which delays the changes at random. */
inline void
Cell::deliver_watch_events(Process &process)
{
    AprStoreWorker_t *worker = &process.store_worker;
    if (!worker->watching || store.down ||
        (inject_failures && !random_chance(20))) {
        return;
    }
    if (worker->reported_revision < store.record_revision) {
        worker->reported_revision = store.record_revision;
        std::string text = store.record_text;
        AprRecordSync_OnWatch(process.core, text.data(), text.size(),
                              store.record_revision);
    }
    for (const auto &item : store.configs) {
        if (item.second.first > worker->reported_generation) {
            AprConfigSync_OnWatch(process.core, item.second.second.data(),
                                  item.second.second.size());
        }
    }
    worker->reported_generation = store.config_generation;
}

extern "C" {

AprLinkHandle_t
AprPeerNet_OpenLink(AprPeerNet_t *net, const char *address)
{
    return net->cell->open_link(net->process_index, address);
}

void
AprPeerNet_CloseLink(AprPeerNet_t *net, AprLinkHandle_t link)
{
    net->cell->close_link(link);
}

int
AprPeerNet_Send(AprPeerNet_t *net, AprLinkHandle_t link, AprMessage_t *message)
{
    net->cell->send_message(net->process_index, link, message);
    return APR_OK;
}

AprPeerNet_t *
AprPeerNet_Start(const AprPeerSettings_t *, const AprClock_t *,
                 const AprPeerCallbacks_t *, AprMetrics_t *, AprError_t *)
{
    return nullptr;
}

void
AprPeerNet_Stop(AprPeerNet_t *)
{
}

const char *
AprPeerNet_ListenAddress(const AprPeerNet_t *)
{
    return "";
}

static int
enqueue_job(AprStoreWorker_t *worker, AprStoreWorker_t::Job job)
{
    worker->jobs.push_back(std::move(job));
    if (worker->jobs.size() == 1) {
        worker->cell->start_job(worker);
    }
    return APR_OK;
}

AprStoreWorker_t *
AprStoreWorker_Start(const AprSettings_t *, AprRing_t *, AprError_t *)
{
    return nullptr;
}

void
AprStoreWorker_Stop(AprStoreWorker_t *)
{
}

int
AprStoreWorker_ReadRecord(AprStoreWorker_t *worker)
{
    return enqueue_job(worker, {APR_JOB_READ_RECORD, "", 0});
}

int
AprStoreWorker_ReadConfig(AprStoreWorker_t *worker)
{
    return enqueue_job(worker, {APR_JOB_READ_CONFIG, "", 0});
}

int
AprStoreWorker_SwapRecord(AprStoreWorker_t *worker, char *text,
                          int64_t revision)
{
    std::string copy = text;
    free(text);
    return enqueue_job(worker, {APR_JOB_SWAP_RECORD, copy, revision});
}

/* The first delivery of a watch that is enabled again has all values. */
void
AprStoreWorker_SetWatchEnabled(AprStoreWorker_t *worker, bool wanted)
{
    if (wanted && !worker->watching) {
        worker->reported_revision = 0;
        worker->reported_generation = 0;
    }
    worker->watching = wanted;
}

bool
AprStoreWorker_IsWatching(const AprStoreWorker_t *worker)
{
    return worker->watching;
}

void
AprStoreResult_Free(AprStoreResult_t *)
{
}

void
AprWatchEvent_Free(AprWatchEvent_t *)
{
}
}

#endif
