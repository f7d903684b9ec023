#ifndef APRICOT_TESTS_CORE_DOUBLES_H
#define APRICOT_TESTS_CORE_DOUBLES_H

/* Test doubles of peer network, backend client, store worker and HTTP entry.
   They have the names of the library's functions and use the World of
   core_fixture.h. */
#include "core_fixture.h"

inline AprLinkHandle_t
World::open_link(int node, const char *address)
{
    int to = atoi(strchr(address, ':') + 1) - 7000;

    connections.push_back({node, to, next_link_++, APR_NO_LINK, false, true});
    schedule_connect(int(connections.size()) - 1);
    return connections.back().out;
}

inline void
World::schedule_connect(int connection)
{
    post(connections[connection].from, uniform(1, 100),
         [this, connection](AprCore_t *core, AprMessage_t *) {
             Connection &link = connections[connection];
             std::string from = core->settings.host;
             std::string to = nodes[link.to].core->settings.host;
             AprLinkHandle_t in = next_link_++;

             if (!link.open || link.up) {
                 return;
             }
             link.up = true;
             link.in = in;
             post(link.to, 0, [in, from](AprCore_t *peer, AprMessage_t *) {
                 AprLinks_OnUp(peer, in, from.c_str());
             });
             AprLinks_OnUp(core, link.out, to.c_str());
         });
}

/* Breaks a connection and reconnects it unless it is closed. Messages in
   transit are lost; half of the requests among them are reported to their
   sender as undelivered. */
inline void
World::break_connection(int connection)
{
    Connection link = connections[connection];

    if (!link.up) {
        return;
    }
    event_counts["cut links"]++;
    connections[connection].up = false;
    for (auto it = events_.begin(); it != events_.end();) {
        Event event = it->second;
        if (event.connection != connection || event.message == nullptr) {
            ++it;
            continue;
        }
        it = events_.erase(it);
        if (event.message->type == APR_MSG_REQUEST && chance(50)) {
            event_counts["undelivered requests"]++;
            post(
                event.sender, 0,
                [](AprCore_t *core, AprMessage_t *lost) {
                    AprRouter_OnUndelivered(core, lost);
                    AprMessage_Free(lost);
                },
                -1, event.message);
        }
        else {
            AprMessage_Free(event.message);
        }
    }
    auto down = [](AprLinkHandle_t handle) {
        return [handle](AprCore_t *core, AprMessage_t *) {
            AprLinks_OnDown(core, handle);
            AprRouter_OnLinkDown(core, handle);
        };
    };
    post(link.from, 0, down(link.out));
    post(link.to, 0, down(link.in));
    if (link.open) {
        schedule_connect(connection);
    }
}

inline void
World::close_link(int node, AprLinkHandle_t handle)
{
    for (size_t i = 0; i < connections.size(); i++) {
        if (connections[i].from == node && connections[i].out == handle) {
            connections[i].open = false;
            break_connection(int(i));
        }
    }
}

/* Sends a message with a random delay, so that messages are reordered. Loses
   some requests and answers and duplicates some answers. Requests are not
   duplicated, because a session closes its connection on a replayed frame. */
inline int
World::send_message(int node, AprLinkHandle_t handle, AprMessage_t *message)
{
    for (size_t i = 0; i < connections.size(); i++) {
        const Connection &link = connections[i];
        bool outbound = link.from == node && link.out == handle;
        bool traffic = message->type == APR_MSG_REQUEST ||
                       message->type == APR_MSG_ANSWER;

        if (!outbound && (link.to != node || link.in != handle || !link.up)) {
            continue;
        }
        int to = outbound ? link.to : link.from;
        AprLinkHandle_t receiving = outbound ? link.in : link.out;
        if (!link.up) {
            post(
                node, 0,
                [](AprCore_t *core, AprMessage_t *lost) {
                    AprRouter_OnUndelivered(core, lost);
                    AprMessage_Free(lost);
                },
                -1, message);
            return APR_OK;
        }
        if (traffic && chance(loss_percent)) {
            event_counts["lost messages"]++;
            AprMessage_Free(message);
            return APR_OK;
        }
        auto deliver = [receiving](AprCore_t *core, AprMessage_t *arrived) {
            AprCore_OnPeerMessage(core, receiving, arrived);
        };
        if (message->type == APR_MSG_ANSWER && chance(10)) {
            event_counts["duplicated answers"]++;
            post(to, uniform(0, 300), deliver, int(i),
                 AprMessage_Copy(message), node);
        }
        post(to, uniform(0, chance(10) ? 100 : 10), deliver, int(i), message,
             node);
        return APR_OK;
    }
    return APR_E_CLOSED;
}

static void
deliver_store_result(AprCore_t *core, AprStoreJobType_t type, int code,
                     const std::string &text, int64_t revision)
{
    AprStoreResult_t *result =
        static_cast<AprStoreResult_t *>(calloc(1, sizeof(*result)));

    result->type = type;
    result->code = code;
    result->revision = revision;
    if (!text.empty()) {
        result->data = strdup(text.c_str());
        result->size = text.size();
    }
    core->store_available = code == APR_OK || code == APR_E_CONFLICT;
    if (type == APR_JOB_READ_CONFIG) {
        AprConfigSync_OnStoreResult(core, result);
    }
    else {
        AprRecordSync_OnStoreResult(core, result);
    }
    AprStoreResult_Free(result);
}

inline void
World::read_store(int node, AprStoreJobType_t type)
{
    int code = store_down ? APR_E_UNAVAILABLE : APR_OK;
    bool record = type == APR_JOB_READ_RECORD && code == APR_OK;
    std::string text = record ? record_text : "";
    int64_t read_revision = record ? revision : 0;

    post(node, uniform(1, 10), [=](AprCore_t *core, AprMessage_t *) {
        deliver_store_result(core, type, code, text, read_revision);
    });
}

/* Does a compare-and-swap of the record and sometimes loses the answer. */
inline void
World::swap_record(int node, const std::string &text, int64_t expected)
{
    int code = store_down             ? APR_E_UNAVAILABLE
               : expected != revision ? APR_E_CONFLICT
                                      : APR_OK;

    if (code == APR_OK) {
        record_text = text;
        revision++;
    }
    if (!store_down && chance(loss_percent)) {
        event_counts["lost store answers"]++;
        code = APR_E_UNKNOWN_OUTCOME;
    }
    int64_t written = revision;
    post(node, uniform(1, 10), [=](AprCore_t *core, AprMessage_t *) {
        deliver_store_result(core, APR_JOB_SWAP_RECORD, code, "", written);
    });
}

extern "C" {

AprPeerNet_t *
AprPeerNet_Start(const AprPeerSettings_t *, const AprClock_t *,
                 const AprPeerCallbacks_t *, AprMetrics_t *, AprError_t *)
{
    return nullptr; /* World doesn't start threads */
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

AprLinkHandle_t
AprPeerNet_OpenLink(AprPeerNet_t *net, const char *address)
{
    return World::current->open_link(net->node, address);
}

void
AprPeerNet_CloseLink(AprPeerNet_t *net, AprLinkHandle_t link)
{
    World::current->close_link(net->node, link);
}

int
AprPeerNet_Send(AprPeerNet_t *net, AprLinkHandle_t link, AprMessage_t *message)
{
    return World::current->send_message(net->node, link, message);
}

AprBackendClient_t *
AprBackendClient_Start(const AprClock_t *, int, size_t,
                       AprBackendResultHandler_t, void *, AprError_t *)
{
    return nullptr;
}

void
AprBackendClient_Stop(AprBackendClient_t *)
{
}

int
AprBackendClient_Submit(AprBackendClient_t *client, AprBackendCall_t *call)
{
    World::current->on_submit(client->node, call);
    return APR_OK;
}

void
AprBackendClient_Cancel(AprBackendClient_t *client, uint64_t id)
{
    World::current->on_cancel(client->node, id);
}

void
AprBackendCall_Free(AprBackendCall_t *call)
{
    AprMessage_Free(call->request);
    free(call);
}

void
AprBackendResult_Free(AprBackendResult_t *result)
{
    free(result->content_type);
    free(result->body);
    free(result);
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
    World::current->read_store(worker->node, APR_JOB_READ_RECORD);
    return APR_OK;
}

int
AprStoreWorker_ReadConfig(AprStoreWorker_t *worker)
{
    World::current->read_store(worker->node, APR_JOB_READ_CONFIG);
    return APR_OK;
}

int
AprStoreWorker_SwapRecord(AprStoreWorker_t *worker, char *text,
                          int64_t revision)
{
    World::current->swap_record(worker->node, text, revision);
    free(text);
    return APR_OK;
}

void
AprStoreWorker_SetWatchEnabled(AprStoreWorker_t *, bool)
{
}

bool
AprStoreWorker_IsWatching(const AprStoreWorker_t *)
{
    return true;
}

void
AprStoreResult_Free(AprStoreResult_t *result)
{
    free(result->data);
    free(result);
}

void
AprWatchEvent_Free(AprWatchEvent_t *)
{
}

char *
AprEntry_ErrorBody(const char *outcome, const char *reason, const char *,
                   const char *, const char *)
{
    return strdup((std::string(outcome) + " " + reason).c_str());
}

void
AprEntryRequest_Complete(AprEntryRequest_t *request)
{
    World::current->on_complete(request);
}

} // extern "C"

#endif
