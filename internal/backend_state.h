#ifndef APRICOT_INTERNAL_BACKEND_STATE_H
#define APRICOT_INTERNAL_BACKEND_STATE_H

/* State of the local backend server, shared by backend.c (heartbeats and
   availability), backend_submit.c (arrival of calls), backend_dispatch.c
   (their start and end) and backend_load.c (load and reports). */

#include "apricot/admission.h"
#include "apricot/grant_waits.h"
#include "internal/backend_cold.h"
#include "internal/backend_conn.h"
#include "internal/gateway.h"
#include "internal/health_probe.h"

struct AprBackend_t {
    AprGateway_t *gateway;
    AprAdmission_t admission;
    AprBackendCold_t cold;
    AprHealthProbe_t *health_probe;
    AprGrantWaits_t grant_waits;
    int64_t next_settle_ms;              /* next check of grant_waits */
    AprCostModel_t costs;                /* used while balancing is adaptive */
    AprRecentFailures_t failures;        /* of runs */
    AprBackendIncarnation_t incarnation; /* empty id: no heartbeat yet */
    bool leaving;
    int64_t leaving_since_ms;
    bool unreachable;
    bool unresponsive;
    AprBackendNotice_t notice; /* of the last response */
    bool notice_known;         /* this incarnation has responded */
    int64_t sent_requests;     /* to this incarnation, with resends */
    int64_t last_response_ms;  /* arrival of the last response head */
    int consecutive_refusals;  /* refused connections */
    int64_t first_refusal_ms;
    uint64_t next_id;
    GHashTable *calls; /* by id */
    AprBackendConn_t *conns;
    double demand_ms; /* decaying sum of the expected service times */
    int64_t demand_updated_ms;
    ev_timer allowance_timer; /* fires when the limit allows the next start */
    ev_timer free_slot_timer; /* fed when a slot is free */
};

/* backend.c */
bool AprBackend_MayStartHere(const AprBackend_t *backend, int key);
void AprBackend_RemoveConn(AprBackendConn_t *conn);
void AprBackend_TrackRefusedConnects(AprBackend_t *backend,
                                     AprConnOutcome_t outcome);

/* backend_submit.c */
void AprBackend_SettleGrantWaits(AprBackend_t *backend, int64_t now_ms);

/* backend_dispatch.c */
AprBackendCall_t *AprBackend_FindCall(AprBackend_t *backend, uint64_t work_id);
void AprBackend_FreeCall(AprBackendCall_t *call);
void AprBackend_FinishCall(AprBackendCall_t *call, bool measured);
void AprBackend_FailCall(AprBackendCall_t *call,
                         const AprCallFailure_t *failure);
bool AprBackend_CheckKeyHeld(AprBackend_t *backend, int key,
                             AprCallFailure_t *failure);
bool AprBackend_CheckKeyStartable(AprBackend_t *backend, int key,
                                  AprCallFailure_t *failure);
void AprBackend_RefuseQueuedCalls(AprBackend_t *backend);
void AprBackend_RefuseEvacuatedCalls(AprBackend_t *backend);
void AprBackend_StartQueuedCalls(AprBackend_t *backend);
void AprBackend_OnStartTimer(struct ev_loop *loop, ev_timer *timer,
                             int events);

/* backend_load.c */
void AprBackend_UpdateCostModel(AprBackend_t *backend);
void AprBackend_UpdateLoadMetrics(AprBackend_t *backend);
void AprBackend_AddDemand(AprBackend_t *backend, double cost_ms,
                          int64_t now_ms);

#endif
