#ifndef APRICOT_TESTS_SYNC_FIXTURE_H
#define APRICOT_TESTS_SYNC_FIXTURE_H

/* Processes of one cell in one thread and simulated time: the real core over
   test doubles of the peer network and the store. */
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
    int process;
};

struct AprStoreWorker_t {
    struct Job {
        AprStoreJobType_t type;
        std::string text;
        int64_t revision;
    };
    Cell *cell;
    int process;
    bool watching;
    int64_t seen_revision;
    uint64_t seen_generation;
    std::deque<Job> jobs; /* the first one is under way */
};

struct Process {
    int index;
    int life;
    AprCore_t *core;
    AprPeerNet_t net;
    AprStoreWorker_t store;
    uint64_t version;                      /* highest seen in this life */
    std::map<std::string, uint64_t> known; /* service -> generation */
};

/* The store's values, and every hash that any version of the record bound. */
struct Store {
    bool down = false;
    int64_t revision = 0;
    uint64_t version = 0;
    uint64_t generation = 0;
    std::string record;
    std::set<uint64_t> bound;
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
            start(process);
        }
    }

    ~Cell()
    {
        for (Process &process : processes) {
            stop(process);
        }
    }

    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    int64_t uniform(int64_t low, int64_t high)
    {
        return std::uniform_int_distribution<int64_t>(low, high)(random_);
    }

    bool chance(int percent)
    {
        return uniform(1, 100) <= percent;
    }

    void after(int64_t ms, std::function<void()> action)
    {
        events_.emplace(now_ms + ms, std::move(action));
    }

    void start(Process &process);
    void stop(Process &process);
    void run_until(int64_t end_ms);
    AprLink_t open(int from, const char *address);
    void close(AprLink_t link);
    void send(int from, AprLink_t link, AprMessage_t *message);
    void begin_job(AprStoreWorker_t *worker);
    void commit(const std::string &text);

    int64_t now_ms = 1000;
    bool failing = true; /* random failures happen */
    int loss_percent = 15;
    Store store;
    std::vector<Process> processes;
    std::function<void()> on_tick;

  private:
    struct Link {
        int from;
        int to;
        bool up;
    };

    /* Runs the action unless the process was restarted in between. */
    void after_for(int index, int64_t ms, std::function<void(Process &)> act)
    {
        int life = processes[index].life;
        after(ms, [this, index, life, act] {
            if (processes[index].life == life) {
                act(processes[index]);
            }
        });
    }

    void connect(AprLink_t id);
    void finish_job(Process &process, int code, const Store &seen);
    void poll_watch(Process &process);
    void tick(Process &process);

    std::mt19937_64 random_;
    std::multimap<int64_t, std::function<void()>> events_;
    std::map<AprLink_t, Link> links_; /* by half of the handle */
    AprLink_t next_link_ = 1;
};

#endif
