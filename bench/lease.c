/* Processor time of lease renewals, record parsing and outcome tables. Prints
   lines `name value unit`. */

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "apricot/clock.h"
#include "apricot/lease.h"
#include "apricot/outcomes.h"

#define MEMBERS APR_MAX_MEMBERS
#define RENEWALS 20000
#define RECORD_CALLS 300
#define ADMISSIONS 100000

static AprRecord_t record;
static AprLease_t *leases[MEMBERS];

static double
process_cpu_us(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Fills the record with the maximum number of members and two services. Each
   partition is assigned in a change of its own, so that all epochs differ. */
static void
fill_record(void)
{
    AprRecord_Init(&record, "cell");
    AprRecord_BeginChange(&record);
    AprRecord_AddService(&record, "desk");
    AprRecord_AddService(&record, "bench");
    for (int i = 0; i < MEMBERS; i++) {
        AprMemberEntry_t entry = {.state = APR_MEMBER_ACTIVE,
                                  .incarnation = 1,
                                  .offered_services = 3};
        AprMember_t member;

        snprintf(entry.host, sizeof(entry.host), "host-%d", i);
        snprintf(entry.failure_domain, sizeof(entry.failure_domain), "%d",
                 i % 3);
        AprRecord_AddMember(&record, &entry, &member, NULL);
    }
    for (int i = 0; i < MEMBERS; i++) {
        char witnesses[APR_MAX_WITNESSES][APR_NAME_SIZE];
        int count =
            AprRecord_ChooseWitnesses(&record, (AprMember_t)i, witnesses);

        AprRecord_SetWitnesses(&record, (AprMember_t)i, witnesses, count);
    }
    for (int i = 0; i < 2 * APR_PARTITIONS; i++) {
        AprRecord_BeginChange(&record);
        AprRecord_AssignPartition(&record, i % 2, i / 2,
                                  (AprMember_t)(i % MEMBERS), 0);
    }
}

/* Measures both sides of a lease renewal without the network, and the check of
   the lease validity. */
static void
measure_renewals(void)
{
    AprLeaseSettings_t settings = AprLeaseSettings_Default();
    struct timespec now = AprTime_FromMs(1000);
    int renewals = 0;
    double start;

    for (int i = 0; i < MEMBERS; i++) {
        leases[i] = AprLease_New(&settings, record.members[i].host, 1, now);
        AprLease_OnRecord(leases[i], &record, now);
    }
    start = process_cpu_us();
    while (renewals < RENEWALS) {
        AprRenewal_t due[APR_MAX_WITNESSES];
        int count;

        now = AprTime_AddMs(now, settings.renew_ms);
        count =
            AprLease_TakeDueRenewals(leases[0], now, due, APR_MAX_WITNESSES);
        for (int i = 0; i < count; i++, renewals++) {
            int witness = atoi(due[i].witness + strlen("host-"));

            if (AprLease_OnRenew(leases[witness], "host-0", 1, now)) {
                AprLease_OnRenewAck(leases[0], due[i].witness, 1,
                                    due[i].send_id);
            }
        }
    }
    printf("lease_renewal_cpu %.3f us\n",
           (process_cpu_us() - start) / renewals);
    start = process_cpu_us();
    for (int i = 0; i < RENEWALS; i++) {
        if (!AprLease_IsValid(leases[0], now)) {
            abort();
        }
    }
    printf("lease_validity_check_cpu %.3f us\n",
           (process_cpu_us() - start) / RENEWALS);
    for (int i = 0; i < MEMBERS; i++) {
        AprLease_Free(leases[i]);
    }
}

static void
measure_record(void)
{
    static AprRecord_t parsed_record;
    char *text = AprRecord_ToJson(&record);
    size_t size = strlen(text);
    double start = process_cpu_us();

    for (int i = 0; i < RECORD_CALLS; i++) {
        if (AprRecord_FromJson(text, size, &parsed_record, NULL) != APR_OK) {
            abort();
        }
    }
    printf("record_parse_cpu %.1f us\n",
           (process_cpu_us() - start) / RECORD_CALLS);
    start = process_cpu_us();
    for (int i = 0; i < RECORD_CALLS; i++) {
        free(text);
        text = AprRecord_ToJson(&record);
    }
    printf("record_write_cpu %.1f us\n",
           (process_cpu_us() - start) / RECORD_CALLS);
    printf("record_size %zu bytes\n", size);
    free(text);
}

static void
measure_outcomes(void)
{
    AprOutcomes_t *outcomes =
        AprOutcomes_New(ADMISSIONS, SIZE_MAX, APR_OUTCOME_RETENTION_MS);
    AprStoredAnswer_t answer = {200, "text/plain", "done", 4};
    double start = process_cpu_us();

    for (uint32_t i = 0; i < ADMISSIONS; i++) {
        AprOutcomeRequest_t request = {.partition = (int)(i % APR_PARTITIONS),
                                       .key_hash = i,
                                       .first_attempt = true};
        AprOutcomeHandle_t outcome;

        memcpy(request.idempotency_key + 8, &i, sizeof(i));
        if (AprOutcomes_Admit(outcomes, &request, 1, &outcome) !=
            APR_ADMIT_RUN) {
            abort();
        }
        AprOutcomes_Finish(outcomes, outcome, &answer, 1);
    }
    printf("outcome_admit_and_finish_cpu %.3f us\n",
           (process_cpu_us() - start) / ADMISSIONS);
    AprOutcomes_Free(outcomes);
}

int
main(void)
{
    fill_record();
    measure_renewals();
    measure_record();
    measure_outcomes();
    return 0;
}
