#ifndef APRICOT_TESTS_CORE_FIXTURE_H
#define APRICOT_TESTS_CORE_FIXTURE_H

/* Simulates three processes in one thread with virtual time. The cores are
   real; peer network, backend client, store worker and HTTP entry are the test
   doubles of core_doubles.h, which the linker takes in place of the library's.
   Both headers contain definitions and are included once in a test program. */
#include <atomic>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/* <stdatomic.h> declares its types for C++ only since C++23. */
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

/* A connection between two nodes, opened by node `from`. */
struct Connection {
    int from;
    int to;
    AprLinkHandle_t out; /* link handle at `from` */
    AprLinkHandle_t in;  /* link handle at `to`; new after each reconnect */
    bool up;
    bool open; /* not closed by `from`; reconnects when it breaks */
};

/* An event for a process. It is delayed while the process is frozen. */
struct Event {
    int node;
    int connection;        /* -1: none */
    int sender;            /* node that sent the message; -1: none */
    AprMessage_t *message; /* NULL: none; `run` takes ownership */
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
    void advance_tick();
    void break_connection(int connection);
    void announce_backend(int node);
    int send_message(int node, AprLinkHandle_t link, AprMessage_t *message);
    AprLinkHandle_t open_link(int node, const char *address);
    void close_link(int node, AprLinkHandle_t link);
    void read_store(int node, AprStoreJobType_t type);
    void swap_record(int node, const std::string &text, int64_t revision);

    int64_t now_ms = 1000;
    Node nodes[kNodes] = {};
    std::vector<Connection> connections;
    std::map<std::string, long> event_counts;
    bool store_down = false;
    int loss_percent = 0; /* of requests, answers and store answers */
    std::string record_text;
    int64_t revision = 0;
    /* Callbacks of the test; they take ownership of the call or request. */
    std::function<void(int, AprBackendCall_t *)> on_submit;
    std::function<void(int, uint64_t)> on_cancel;
    std::function<void(AprEntryRequest_t *)> on_complete;

  private:
    void schedule_connect(int connection);
    void start_node(int node);
    void publish_config(AprCore_t *core);
    void deliver_due_events();

    std::mt19937_64 random_;
    std::map<std::pair<int64_t, uint64_t>, Event> events_;
    uint64_t sequence_ = 0;
    AprLinkHandle_t next_link_ = 1;
};

World *World::current;

static struct timespec
get_virtual_time(void *)
{
    return AprTime_FromMs(World::current->now_ms);
}

/* Wall-clock time starts at a date that idempotency keys can represent. */
static struct timespec
get_virtual_wall_time(void *)
{
    return AprTime_FromMs(1700000000000 + World::current->now_ms);
}

inline World::World(uint64_t seed) : random_(seed)
{
    current = this;
    g_random_set_seed(guint32(seed)); /* move ids and random delays */
    for (int i = 0; i < kNodes; i++) {
        start_node(i);
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
World::start_node(int i)
{
    AprClock_t clock = {get_virtual_time, get_virtual_wall_time, nullptr};
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
    publish_config(nodes[i].core);
    announce_backend(i);
}

/* Publishes the configuration of service "desk" to a core. Only the operation
   "read" is idempotent. */
inline void
World::publish_config(AprCore_t *core)
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

/* Does what the admin interface does when a backend server announces itself.
 */
inline void
World::announce_backend(int node)
{
    AprCore_t *core = nodes[node].core;
    int index = AprCore_FindService(core, "desk");
    AprLocalBackend_t *backend = &core->services[index]->backend;

    backend->announced_at = AprCore_Now(core);
    if (!backend->alive) {
        backend->alive = true;
        backend->slots = 6;
        strcpy(backend->address, "127.0.0.1:9000");
        AprOwner_RebuildQueue(core, index);
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

/* Handles the events that are due, as the core thread's loop does. */
inline void
World::deliver_due_events()
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

/* Advances time by one tick, handles the events that are due and runs the
   timers as the core thread's loop does. */
inline void
World::advance_tick()
{
    now_ms += kTickMs;
    deliver_due_events();
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

/* Frees a caller's request, as the HTTP thread does. */
static void
free_entry_request(AprEntryRequest_t *request)
{
    for (char *text :
         {request->service, request->operation, request->key,
          request->rank_name, request->caller, request->content_type,
          request->body, request->response_content_type,
          request->response_body}) {
        g_free(text);
    }
    free(request);
}

#endif
