#ifndef APRICOT_TESTS_SYNC_FIXTURE_H
#define APRICOT_TESTS_SYNC_FIXTURE_H

/* Runs the processes of one cell in one thread and in simulated time. Each
   process is the real core on test doubles of the peer network and of the
   store. */
#include <atomic>
#include <cstring>
#include <deque>
#include <functional>
#include <glib.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using std::atomic_bool;
using std::atomic_int;
extern "C" {
#include "internal/core.h"
#include "internal/sync_rules.h"
}

class Cell;

struct AprPeerNet_t {
    Cell *cell;
    int process_index;
};

struct AprStoreWorker_t {
    struct Job {
        AprStoreJobType_t type;
        std::string text;
        int64_t revision;
    };
    Cell *cell;
    int process_index;
    bool watching;
    /* Newest record and configuration that the watch has delivered. */
    int64_t reported_revision;
    uint64_t reported_generation;
    std::deque<Job> jobs; /* the first one is running */
};

struct Process {
    int index;
    int epoch; /* increases with every start and stop */
    AprCore_t *core;
    AprPeerNet_t net;
    AprStoreWorker_t store_worker;
    /* Highest version of the record since the start. */
    uint64_t record_version;
    /* Highest generation of each service since the start, by name. */
    std::map<std::string, uint64_t> config_generations;
};

/* Content of the simulated store. */
struct Store {
    bool down = false;
    int64_t record_revision = 0;
    uint64_t record_version = 0;
    uint64_t config_generation = 0;
    std::string record_text;
    /* Every hash that any version of the record has bound. */
    std::set<uint64_t> bound_hashes;
    /* Generation and JSON text of each service, by name. */
    std::map<std::string, std::pair<uint64_t, std::string>> configs;
};

class Cell {
  public:
    Cell(uint64_t seed, int count) : random_(seed)
    {
        for (int i = 0; i < count; i++) {
            processes.push_back({i, 0, nullptr, {this, i}, {}, 0, {}});
        }
        for (Process &process : processes) {
            start_process(process);
        }
    }

    ~Cell()
    {
        for (Process &process : processes) {
            stop_process(process);
        }
    }

    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    int64_t random_uniform(int64_t low, int64_t high)
    {
        return std::uniform_int_distribution<int64_t>(low, high)(random_);
    }

    bool random_chance(int percent)
    {
        return random_uniform(1, 100) <= percent;
    }

    void schedule(int64_t ms, std::function<void()> action)
    {
        scheduled_actions_.emplace(now_ms + ms, std::move(action));
    }

    void start_process(Process &process);
    void stop_process(Process &process);
    void run_until(int64_t end_ms);
    AprLinkHandle_t open_link(int from, const char *address);
    void close_link(AprLinkHandle_t link);
    void send_message(int from, AprLinkHandle_t link, AprMessage_t *message);
    void start_job(AprStoreWorker_t *worker);
    void commit_record(const std::string &text);

    int64_t now_ms = 1000;
    bool inject_failures = true;
    int message_loss_percent = 15;
    Store store;
    std::vector<Process> processes;
    std::function<void()> on_tick;

  private:
    struct Link {
        int from; /* index of the process that opened the link */
        int to;
        bool up;
    };

    /* Runs the action after `ms` unless the process stops or starts in
       between. */
    void schedule_for_process(int index, int64_t ms,
                              std::function<void(Process &)> action)
    {
        int epoch = processes[index].epoch;
        schedule(ms, [this, index, epoch, action] {
            if (processes[index].epoch == epoch) {
                action(processes[index]);
            }
        });
    }

    void connect_link(AprLinkHandle_t id);
    void finish_job(Process &process, int code, const Store &snapshot);
    void deliver_watch_events(Process &process);
    void tick_process(Process &process);

    std::mt19937_64 random_;
    std::multimap<int64_t, std::function<void()>> scheduled_actions_;
    /* By link id. The handle of a link is id * 2 at the process that opened it
       and id * 2 + 1 at the other one. */
    std::map<AprLinkHandle_t, Link> links_;
    AprLinkHandle_t next_link_ = 1;
};

#endif
