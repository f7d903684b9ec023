#ifndef APRICOT_STANDIN_HTTP_H
#define APRICOT_STANDIN_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <stdbool.h>

#define APR_STANDIN_ADDRESS_SIZE 64

/* What the stand-in servers share: a libmicrohttpd daemon with a thread for
   each connection, so that a handler may sleep. */
typedef enum MHD_Result (*AprStandinHandler_t)(void *context,
                                               struct MHD_Connection *client,
                                               const char *url,
                                               const char *method,
                                               const GString *body);

typedef struct AprStandinHttp_t {
    struct MHD_Daemon *daemon;
    AprStandinHandler_t handle;
    void *context;
    atomic_int active;
    char address[APR_STANDIN_ADDRESS_SIZE]; /* as bound */
} AprStandinHttp_t;

/* `connections`: limit of open connections, 0 for the default. */
int AprStandinHttp_Start(AprStandinHttp_t *http, const char *listen,
                         unsigned connections, AprStandinHandler_t handle,
                         void *context);
void AprStandinHttp_Stop(AprStandinHttp_t *http);
enum MHD_Result AprStandinHttp_Text(struct MHD_Connection *client, int status,
                                    const char *type, const char *text);
/* Takes ownership of the object. */
enum MHD_Result AprStandinHttp_Json(struct MHD_Connection *client, int status,
                                    json_t *object);
int AprStandinHttp_Active(AprStandinHttp_t *http);
/* Whether the caller has closed its connection. */
bool AprStandinHttp_Closed(struct MHD_Connection *client);
/* Number from the query part of the URL. */
long AprStandinHttp_Number(struct MHD_Connection *client, const char *name,
                           long fallback);

#endif
