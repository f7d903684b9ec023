#ifndef APRICOT_TESTS_SYNC_DOUBLES_H
#define APRICOT_TESTS_SYNC_DOUBLES_H

/* The test doubles of tests/sync_fixture.h and what drives them. Included by
   one file only, because it defines functions of the library's interface. */
#include "tests/sync_fixture.h"

constexpr int kTickMs = 10;
constexpr int kStoreTimeoutMs = 300;
constexpr int64_t kWallMs = 1700000000000; /* incarnations come from it */

static struct timespec
now_of(void *context)
{
    return AprTime_FromMs(static_cast<Cell *>(context)->now_ms);
}

static struct timespec
wall_of(void *context)
{
    return AprTime_FromMs(kWallMs + static_cast<Cell *>(context)->now_ms);
}

inline void
Cell::start(Process &process)
{
    AprSettings_t settings = {};
    AprClock_t clock = {now_of, wall_of, this};
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
    process.life++;
    process.version = 0;
    process.known.clear();
    process.store = {this, process.index, false, 0, 0, {}};
    process.core = AprCore_New(&settings, &clock);
    process.core->net = &process.net;
    process.core->store = &process.store;
    after_for(process.index, uniform(0, kTickMs),
              [this](Process &self) { tick(self); });
}

/* Everything that the process knew is gone; its links break. */
inline void
Cell::stop(Process &process)
{
    AprCore_t *core = process.core;
    if (core == nullptr) {
        return;
    }
    process.core = nullptr;
    process.life++;
    g_queue_clear_full(&core->changes, free);
    AprCore_Free(core);
    for (auto item = links_.begin(); item != links_.end();) {
        AprLink_t id = item->first;
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
            after(20, [this, id] { connect(id); });
        }
        ++item;
    }
}

inline void
Cell::run_until(int64_t end_ms)
{
    while (now_ms < end_ms) {
        now_ms++;
        while (!events_.empty() && events_.begin()->first <= now_ms) {
            std::function<void()> action = events_.begin()->second;
            events_.erase(events_.begin());
            action();
        }
        if (now_ms % kTickMs == 0) {
            on_tick();
        }
    }
}

inline void
Cell::tick(Process &process)
{
    AprCore_t *core = process.core;
    AprMembership_Tick(core);
    AprRemovalTask_Tick(core);
    AprRecordSync_Tick(core);
    AprConfigSync_Tick(core);
    AprHandover_Tick(core);
    poll_watch(process);
    after_for(process.index, kTickMs, [this](Process &self) { tick(self); });
}

inline AprLink_t
Cell::open(int from, const char *address)
{
    AprLink_t id = next_link_++;
    links_[id] = {from, atoi(strchr(address, ':') + 1) - 7000, false};
    after(uniform(1, 5), [this, id] { connect(id); });
    return id * 2;
}

inline void
Cell::connect(AprLink_t id)
{
    auto item = links_.find(id);
    if (item == links_.end() || item->second.up) {
        return;
    }
    Link &link = item->second;
    char host[APR_NAME_SIZE];
    if (processes[size_t(link.to)].core == nullptr) {
        after(50, [this, id] { connect(id); });
        return;
    }
    link.up = true;
    g_snprintf(host, sizeof(host), "host%d", link.from);
    AprLinks_OnUp(processes[size_t(link.to)].core, id * 2 + 1, host);
    g_snprintf(host, sizeof(host), "host%d", link.to);
    AprLinks_OnUp(processes[size_t(link.from)].core, id * 2, host);
}

inline void
Cell::close(AprLink_t handle)
{
    auto item = links_.find(handle / 2);
    if (item == links_.end()) {
        return;
    }
    Link link = item->second;
    links_.erase(item);
    if (link.up) {
        after_for(link.to, 1, [handle](Process &peer) {
            AprLinks_OnDown(peer.core, handle / 2 * 2 + 1);
        });
    }
}

/* Takes the message; loses or delays some while failures happen. */
inline void
Cell::send(int from, AprLink_t handle, AprMessage_t *message)
{
    std::shared_ptr<AprMessage_t> kept(message, AprMessage_Free);
    auto item = links_.find(handle / 2);
    if (item == links_.end() || !item->second.up ||
        (failing && chance(loss_percent))) {
        return;
    }
    bool reply = handle % 2 == 1;
    int to = reply ? item->second.from : item->second.to;
    int64_t delay = failing && chance(10) ? uniform(5, 1000) : uniform(1, 3);
    (void)from;
    after_for(to, delay, [this, handle, kept](Process &peer) {
        auto now = links_.find(handle / 2);
        if (now != links_.end() && now->second.up) {
            AprCore_OnPeerMessage(peer.core, handle ^ 1u,
                                  AprMessage_Copy(kept.get()));
        }
    });
}

/* Puts a record into the store and notes which hashes it binds. */
inline void
Cell::commit(const std::string &text)
{
    auto record = std::make_unique<AprRecord_t>();
    AprError_t error = {};
    if (AprRecord_FromJson(text.data(), text.size(), record.get(), &error) !=
        APR_OK) {
        abort(); /* the core wrote an invalid record */
    }
    store.record = text;
    store.version = record->version;
    store.revision++;
    for (int i = 0; i < record->service_count; i++) {
        for (int slot = 0; slot < APR_HOT_SLOTS; slot++) {
            if (record->services[i].hot_used[slot]) {
                store.bound.insert(record->services[i].hot_hash[slot]);
            }
        }
    }
}

/* Runs the first job: it may fail, answer late, lose its answer, or take
   effect only after the caller gave up. */
inline void
Cell::begin_job(AprStoreWorker_t *worker)
{
    const AprStoreWorker_t::Job job = worker->jobs.front();
    bool swap = job.type == APR_JOB_SWAP_RECORD;
    int fate = failing ? int(uniform(1, 100)) : 100;
    int64_t delay = failing && chance(10) ? uniform(5, 290) : uniform(1, 4);
    bool late = swap && fate <= 10;
    bool lost = fate <= 20;
    auto write = [this, job] {
        if (!store.down && store.revision == job.revision) {
            commit(job.text);
            return APR_OK;
        }
        return store.down ? APR_E_UNAVAILABLE : APR_E_CONFLICT;
    };
    if (late) {
        after(uniform(kStoreTimeoutMs, 2000), [write] { write(); });
    }
    auto result = std::make_shared<int>(APR_E_UNKNOWN);
    auto seen = std::make_shared<Store>();
    after(delay, [this, swap, late, write, result, seen] {
        if (swap && !late) {
            *result = write();
        }
        else if (!swap) {
            *result = store.down ? APR_E_UNAVAILABLE : APR_OK;
        }
        *seen = store;
    });
    after_for(worker->process, lost ? kStoreTimeoutMs : delay + uniform(1, 3),
              [this, swap, lost, result, seen](Process &process) {
                  int code = !lost  ? *result
                             : swap ? APR_E_UNKNOWN
                                    : APR_E_UNAVAILABLE;
                  finish_job(process, code, *seen);
              });
}

inline void
Cell::finish_job(Process &process, int code, const Store &seen)
{
    AprStoreWorker_t *worker = &process.store;
    AprStoreResult_t result = {};
    std::vector<AprConfigText_t> configs;
    result.type = worker->jobs.front().type;
    result.code = code;
    result.revision = seen.revision;
    if (!seen.record.empty()) {
        result.data = const_cast<char *>(seen.record.data());
        result.size = seen.record.size();
    }
    for (const auto &item : seen.configs) {
        configs.push_back({const_cast<char *>(item.second.second.data()),
                           item.second.second.size()});
    }
    result.configs = configs.data();
    result.config_count = int(configs.size());
    worker->jobs.pop_front();
    if (!worker->jobs.empty()) {
        begin_job(worker);
    }
    if (result.type == APR_JOB_READ_CONFIG) {
        AprConfigSync_OnStoreResult(process.core, &result);
    }
    else {
        AprRecordSync_OnStoreResult(process.core, &result);
    }
}

/* Reports what changed since the last report, after a random delay. */
inline void
Cell::poll_watch(Process &process)
{
    AprStoreWorker_t *worker = &process.store;
    if (!worker->watching || store.down || (failing && !chance(20))) {
        return;
    }
    if (worker->seen_revision < store.revision) {
        worker->seen_revision = store.revision;
        std::string text = store.record;
        AprRecordSync_OnWatch(process.core, text.data(), text.size(),
                              store.revision);
    }
    for (const auto &item : store.configs) {
        if (item.second.first > worker->seen_generation) {
            AprConfigSync_OnWatch(process.core, item.second.second.data(),
                                  item.second.second.size());
        }
    }
    worker->seen_generation = store.generation;
}

extern "C" {

AprLink_t
AprPeerNet_Open(AprPeerNet_t *net, const char *address)
{
    return net->cell->open(net->process, address);
}

void
AprPeerNet_Close(AprPeerNet_t *net, AprLink_t link)
{
    net->cell->close(link);
}

int
AprPeerNet_Send(AprPeerNet_t *net, AprLink_t link, AprMessage_t *message)
{
    net->cell->send(net->process, link, message);
    return APR_OK;
}

AprPeerNet_t *
AprPeerNet_Start(const AprPeerSettings_t *, const AprClock_t *,
                 const AprPeerEvents_t *, AprMetrics_t *, AprError_t *)
{
    return nullptr;
}

void
AprPeerNet_Stop(AprPeerNet_t *)
{
}

const char *
AprPeerNet_Address(const AprPeerNet_t *)
{
    return "";
}

static int
add_job(AprStoreWorker_t *worker, AprStoreWorker_t::Job job)
{
    worker->jobs.push_back(std::move(job));
    if (worker->jobs.size() == 1) {
        worker->cell->begin_job(worker);
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
    return add_job(worker, {APR_JOB_READ_RECORD, "", 0});
}

int
AprStoreWorker_ReadConfig(AprStoreWorker_t *worker)
{
    return add_job(worker, {APR_JOB_READ_CONFIG, "", 0});
}

int
AprStoreWorker_SwapRecord(AprStoreWorker_t *worker, char *text,
                          int64_t revision)
{
    std::string copy = text;
    free(text);
    return add_job(worker, {APR_JOB_SWAP_RECORD, copy, revision});
}

/* A watch that is turned on again lists first. */
void
AprStoreWorker_SetWatch(AprStoreWorker_t *worker, bool wanted)
{
    if (wanted && !worker->watching) {
        worker->seen_revision = 0;
        worker->seen_generation = 0;
    }
    worker->watching = wanted;
}

bool
AprStoreWorker_Watching(const AprStoreWorker_t *worker)
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
