#ifndef APRICOT_STANDIN_HTTP_H
#define APRICOT_STANDIN_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <stdbool.h>

#define APR_STANDIN_ADDRESS_SIZE 64

/* Answers one request of a stand-in server. Each connection has a thread of
   its own, so a handler may block. */
typedef enum MHD_Result (*AprStandinHandler_t)(void *context,
                                               struct MHD_Connection *client,
                                               const char *url,
                                               const char *method,
                                               const GString *body);

/* HTTP server that the stand-ins share: a libmicrohttpd daemon with a thread
   per connection. */
typedef struct AprStandinHttp_t {
    struct MHD_Daemon *daemon;
    AprStandinHandler_t handle;
    void *context;
    atomic_int active; /* requests whose response has not been sent */
    char address[APR_STANDIN_ADDRESS_SIZE]; /* IP:port as bound */
} AprStandinHttp_t;

/* `max_connections` limits the open connections; 0 selects the default. */
int AprStandinHttp_Start(AprStandinHttp_t *http, const char *listen,
                         unsigned max_connections, AprStandinHandler_t handle,
                         void *context);
void AprStandinHttp_Stop(AprStandinHttp_t *http);
enum MHD_Result AprStandinHttp_SendText(struct MHD_Connection *client,
                                        int status, const char *type,
                                        const char *text);
/* Takes ownership of `object`. */
enum MHD_Result AprStandinHttp_SendJson(struct MHD_Connection *client,
                                        int status, json_t *object);
int AprStandinHttp_CountActive(AprStandinHttp_t *http);
/* Returns whether the caller has closed its connection. */
bool AprStandinHttp_IsClosed(struct MHD_Connection *client);
/* Returns a number from the query string, or `default_value` if it is
   missing. */
long AprStandinHttp_QueryNumber(struct MHD_Connection *client,
                                const char *name, long default_value);

#endif
