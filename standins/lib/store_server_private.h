#ifndef APRICOT_STANDIN_STORE_SERVER_PRIVATE_H
#define APRICOT_STANDIN_STORE_SERVER_PRIVATE_H

#include <pthread.h>
#include <stdbool.h>

#include "standins/lib/http.h"
#include "standins/lib/store_data.h"
#include "standins/lib/store_server.h"

struct AprStoreServer_t {
    AprStandinHttp_t http;
    pthread_mutex_t mutex;
    pthread_cond_t changed; /* the data, the mode or `stopping` changed */
    AprStoreData_t *data;
    AprStoreMode_t mode;
    int delay_ms;  /* in APR_STORE_SLOW */
    int times;     /* writes left in APR_STORE_LOSE_RESPONSE; 0: no limit */
    bool cut_next; /* APR_STORE_DOWN alternates between 503 and a cut */
    bool stopping;
    AprStoreCounts_t counts;
};

int64_t AprStoreServer_NowMs(void);
void AprStoreServer_WaitForChange(AprStoreServer_t *server, int64_t ms);
enum MHD_Result AprStoreServer_BeginWatch(AprStoreServer_t *server,
                                          struct MHD_Connection *client,
                                          const json_t *request);

#endif
