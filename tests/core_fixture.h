#ifndef APRICOT_TESTS_CORE_FIXTURE_H
#define APRICOT_TESTS_CORE_FIXTURE_H

/* Up to three real cores in one thread of virtual time. The peer network, the
   backend client, the store worker and the HTTP entry are the test doubles of
   core_doubles.h, which win over the library's. Both headers hold definitions
   and are included once in a test program. */
#include <atomic>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/* <stdatomic.h> names its types for C++ only from C++23 on. */
using std::atomic_bool;
using std::atomic_int;

extern "C" {
#include "internal/core.h"
#include "internal/daemon.h"
}

class World;

struct AprPeerNet_t {
    int node;
};
struct AprBackendClient_t {
    int node;
};
struct AprStoreWorker_t {
    int node;
};

struct Connection {
    int from;
    int to;
    AprLink_t out;
    AprLink_t in; /* new with each connect */
    bool up;
    bool open;
};

/* Something that reaches a process; waits while the process is frozen. */
struct Event {
    int node;
    int connection;        /* -1: none */
    int sender;            /* process that sent the message; -1: none */
    AprMessage_t *message; /* NULL: none; taken by the handler */
    std::function<void(AprCore_t *, AprMessage_t *)> run;
};

struct Node {
    AprCore_t *core;
    AprPeerNet_t net;
    AprBackendClient_t backends;
    AprStoreWorker_t store;
    bool frozen;
};

class World {
  public:
    static World *current;
    static constexpr int kNodes = 3;
    static constexpr int kTickMs = 10;

    explicit World(uint64_t seed);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    int64_t uniform(int64_t low, int64_t high)
    {
        return low + int64_t(random_() % uint64_t(high - low + 1));
    }
    bool chance(int percent)
    {
        return uniform(1, 100) <= percent;
    }
    void post(int node, int64_t delay,
              std::function<void(AprCore_t *, AprMessage_t *)> run,
              int connection = -1, AprMessage_t *message = nullptr,
              int sender = -1);
    void step();
    void cut(int connection);
    void announce(int node);
    int send(int node, AprLink_t link, AprMessage_t *message);
    AprLink_t open(int node, const char *address);
    void close(int node, AprLink_t link);
    void read(int node, AprStoreJobType_t type);
    void swap(int node, const std::string &text, int64_t revision);

    int64_t now_ms = 1000;
    Node nodes[kNodes] = {};
    std::vector<Connection> connections;
    std::map<std::string, long> counts;
    bool store_down = false;
    int lost_percent = 0; /* of requests and answers; of store answers */
    std::string record_text;
    int64_t revision = 0;
    /* Observers, set by the test. */
    std::function<void(int, AprBackendCall_t *)> on_submit;
    std::function<void(int, uint64_t)> on_cancel;
    std::function<void(AprEntryRequest_t *)> on_complete;

  private:
    void connect(int connection);
    void start(int node);
    void configure(AprCore_t *core);
    void deliver_due();

    std::mt19937_64 random_;
    std::map<std::pair<int64_t, uint64_t>, Event> events_;
    uint64_t sequence_ = 0;
    AprLink_t next_link_ = 1;
};

World *World::current;

static struct timespec
world_now(void *)
{
    return AprTime_FromMs(World::current->now_ms);
}

/* Calendar time starts at a date that idempotency keys can hold. */
static struct timespec
world_wall(void *)
{
    return AprTime_FromMs(1700000000000 + World::current->now_ms);
}

inline World::World(uint64_t seed) : random_(seed)
{
    current = this;
    g_random_set_seed(guint32(seed)); /* move ids and retry pauses */
    for (int i = 0; i < kNodes; i++) {
        start(i);
    }
}

inline World::~World()
{
    for (auto &event : events_) {
        AprMessage_Free(event.second.message);
    }
    for (Node &node : nodes) {
        AprCore_Free(node.core);
    }
}

inline void
World::start(int i)
{
    AprClock_t clock = {world_now, world_wall, nullptr};
    AprSettings_t settings = {};
    std::string name(1, char('a' + i));

    strcpy(settings.host, name.c_str());
    strcpy(settings.cell, "cell");
    strcpy(settings.failure_domain, ("domain-" + name).c_str());
    strcpy(settings.region, "region");
    for (char *address : {settings.advertise_callers, settings.advertise_peers,
                          settings.advertise_admin}) {
        snprintf(address, APR_ADDRESS_SIZE, "127.0.0.1:%d", 7000 + i);
    }
    for (int j = 0; j < kNodes; j++) {
        if (j != i) {
            snprintf(settings.seeds[settings.seed_count++], APR_ADDRESS_SIZE,
                     "127.0.0.1:%d", 7000 + j);
        }
    }
    settings.backend_slots = 6;
    settings.backend_connections = 64;
    settings.backend_timeout_ms = 2000;
    settings.lease_renew_ms = APR_LEASE_RENEW_MS;
    settings.lease_promise_ms = APR_LEASE_PROMISE_MS;
    nodes[i].core = AprCore_New(&settings, &clock);
    nodes[i].net.node = nodes[i].backends.node = nodes[i].store.node = i;
    nodes[i].core->net = &nodes[i].net;
    nodes[i].core->backends = &nodes[i].backends;
    nodes[i].core->store = &nodes[i].store;
    configure(nodes[i].core);
    announce(i);
}

/* Operations "read" are idempotent, others are not. */
inline void
World::configure(AprCore_t *core)
{
    AprServiceConfig_t config = {};
    AprMessage_t message = {};

    strcpy(config.service, "desk");
    strcpy(config.published_by, "test@host");
    strcpy(config.patterns[0], "*");
    strcpy(config.idempotent[0], "read");
    strcpy(config.ranks[0].name, "urgent");
    strcpy(config.ranks[1].name, "normal");
    config.ranks[0].spec = {100, 3};
    config.ranks[1].spec = {200, 1};
    config.generation = 1;
    config.pattern_count = config.idempotent_count = 1;
    config.rank_count = 2;
    config.move_cost = 0.5;
    config.caller_rate = config.service_rate = 100000;
    config.queue = 32;
    config.body_bytes = 1024;
    config.hot_share = 0.9;
    char *text = AprServiceConfig_ToJson(&config);
    message.type = APR_MSG_CONFIG;
    message.text.version = config.generation;
    message.text.text = AprBytes_FromText(text);
    AprConfigSync_OnMessage(core, APR_NO_LINK, &message);
    free(text);
}

/* What the admin interface does for an announcement. */
inline void
World::announce(int node)
{
    AprCore_t *core = nodes[node].core;
    int index = AprCore_FindService(core, "desk");
    AprLocalBackend_t *backend = &core->services[index]->backend;

    backend->announced_at = AprCore_Now(core);
    if (!backend->alive) {
        backend->alive = true;
        backend->slots = 6;
        strcpy(backend->address, "127.0.0.1:9000");
        AprOwner_SetQueue(core, index);
    }
}

inline void
World::post(int node, int64_t delay,
            std::function<void(AprCore_t *, AprMessage_t *)> run,
            int connection, AprMessage_t *message, int sender)
{
    events_.emplace(std::make_pair(now_ms + delay, sequence_++),
                    Event{node, connection, sender, message, std::move(run)});
}

/* The part of the core thread's loop that takes events. */
inline void
World::deliver_due()
{
    for (auto it = events_.begin();
         it != events_.end() && it->first.first <= now_ms;) {
        if (nodes[it->second.node].frozen) {
            ++it;
            continue;
        }
        Event event = std::move(it->second);
        events_.erase(it);
        event.run(nodes[event.node].core, event.message);
        it = events_.begin(); /* the handler may have changed the queue */
    }
}

/* The part of the core thread's loop that runs timers. */
inline void
World::step()
{
    now_ms += kTickMs;
    deliver_due();
    for (Node &node : nodes) {
        if (node.frozen) {
            continue;
        }
        AprMembership_Tick(node.core);
        AprRemovalTask_Tick(node.core);
        AprRecordSync_Tick(node.core);
        AprConfigSync_Tick(node.core);
        AprHandover_Tick(node.core);
        AprHotKeyTask_Tick(node.core);
        AprOwner_Tick(node.core);
        AprRouter_Tick(node.core);
    }
}

/* Frees a caller's request as the HTTP thread does. */
static void
free_entry_request(AprEntryRequest_t *request)
{
    for (char *text :
         {request->service, request->operation, request->key,
          request->rank_name, request->caller, request->content_type,
          request->body, request->answer_type, request->answer_body}) {
        g_free(text);
    }
    free(request);
}

#endif
