#ifndef APRICOT_INTERNAL_INGRESS_STATE_H
#define APRICOT_INTERNAL_INGRESS_STATE_H

#include "internal/exchange.h"
#include "internal/listener.h"

/* The callers of a gateway, for the sources that implement them. */
struct AprIngress_t {
    AprGateway_t *gateway;
    AprCallerConn_t *callers;
    int exchange_count;
    AprListener_t listener;
    bool visiting; /* closed callers are freed after the visit of the list */
    AprCallerConn_t *closed_callers;
};

/* Implemented in ingress.c. */
const AprCallerLimits_t *AprIngress_CallerLimits(const AprIngress_t *ingress);

/* Implemented in caller_conn.c. */
void AprCallerConn_Free(AprCallerConn_t *caller);
void AprCallerConn_Close(AprCallerConn_t *caller, bool abort);
bool AprCallerConn_EndWithStatus(AprCallerConn_t *caller, int status);
void AprCallerConn_StartWaiting(AprCallerConn_t *caller);
void AprCallerConn_Accept(void *context, int fd);

#endif
