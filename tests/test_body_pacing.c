/* Pacing of request bodies and the network delay that hosts report, without a
   network. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/body_pacing.h"
#include "apricot/network_delay.h"
#include "internal/host_choice.h"

#define LINK_MBPS 10.0
#define LINK_BYTES_PER_MS 1250
#define BODY_BYTES 60000
#define TIME_LIMIT_MS 2000
#define MAX_UPLOADS 200
#define SENDER_DELAY_MS 2 /* from a grant to its first byte on the link */

/* An upload, whose bytes share the link of the receiving host. */
typedef struct Upload_t {
    int64_t start_ms;
    int64_t end_ms; /* 0: not complete */
    size_t received;
    bool refused;
} Upload_t;

/* Bytes on their way, in the order in which they were sent. */
typedef struct Parcel_t {
    int upload;
    size_t size;
    int64_t sent_ms;
} Parcel_t;

typedef struct Replay_t {
    AprBodyPacing_t pacing;
    bool paced;
    Upload_t uploads[MAX_UPLOADS];
    int count;
    Parcel_t parcels[20000];
    int first;
    int end;
    size_t queued_bytes;
    int64_t longest_delay_ms; /* of a small request behind the bodies */
} Replay_t;

static void
send_bytes(Replay_t *replay, int upload, size_t size, int64_t now_ms)
{
    assert_true(replay->end < 20000);
    replay->parcels[replay->end++] = (Parcel_t){upload, size, now_ms};
    replay->queued_bytes += size;
}

static void
send_grants(Replay_t *replay, int64_t now_ms)
{
    uint64_t id;
    size_t size;

    while ((size = AprBodyPacing_NextGrant(&replay->pacing, &id, now_ms)) >
           0) {
        send_bytes(replay, (int)id, size, now_ms + SENDER_DELAY_MS);
    }
}

static void
start_upload(Replay_t *replay, int64_t now_ms)
{
    int index = replay->count++;
    Upload_t *upload = &replay->uploads[index];

    upload->start_ms = now_ms;
    if (!replay->paced) {
        send_bytes(replay, index, BODY_BYTES, now_ms);
        return;
    }
    upload->refused =
        !AprBodyPacing_Offer(&replay->pacing, (uint64_t)index, true,
                             BODY_BYTES, TIME_LIMIT_MS, now_ms);
}

/* Delivers what the link carries in a millisecond. */
static void
deliver(Replay_t *replay, int64_t now_ms)
{
    size_t room = LINK_BYTES_PER_MS;

    while (room > 0 && replay->first < replay->end &&
           replay->parcels[replay->first].sent_ms <= now_ms) {
        Parcel_t *parcel = &replay->parcels[replay->first];
        Upload_t *upload = &replay->uploads[parcel->upload];
        size_t part = parcel->size < room ? parcel->size : room;

        room -= part;
        parcel->size -= part;
        replay->queued_bytes -= part;
        replay->first += parcel->size == 0;
        upload->received += part;
        if (replay->paced) {
            AprBodyPacing_Receive(&replay->pacing, (uint64_t)parcel->upload,
                                  part, now_ms);
        }
        if (upload->received == BODY_BYTES) {
            upload->end_ms = now_ms;
            AprBodyPacing_Remove(&replay->pacing, (uint64_t)parcel->upload);
        }
    }
}

/* Returns the number of uploads that were received within their limit. */
static int
play_burst(Replay_t *replay, bool paced)
{
    int timely = 0;

    memset(replay, 0, sizeof(*replay));
    replay->paced = paced;
    AprBodyPacing_Init(&replay->pacing, LINK_MBPS);
    for (int64_t now_ms = 1; now_ms < 8000; now_ms++) {
        int64_t delay_ms;

        /* 40 uploads a second for four seconds need 1.9 times the link. */
        if (now_ms % 25 == 0 && now_ms <= 4000) {
            start_upload(replay, now_ms);
        }
        if (paced) {
            send_grants(replay, now_ms);
        }
        deliver(replay, now_ms);
        delay_ms = (int64_t)(replay->queued_bytes / LINK_BYTES_PER_MS);
        if (delay_ms > replay->longest_delay_ms) {
            replay->longest_delay_ms = delay_ms;
        }
    }
    for (int i = 0; i < replay->count; i++) {
        const Upload_t *upload = &replay->uploads[i];

        assert_true(upload->refused || upload->end_ms > 0);
        timely += !upload->refused &&
                  upload->end_ms - upload->start_ms <= TIME_LIMIT_MS + 100;
    }
    AprBodyPacing_Free(&replay->pacing);
    return timely;
}

/* Guards against a burst of uploads that fills the link of a host: small
   requests wait behind all of it, and most uploads end too late. */
static void
test_burst_of_uploads(void **state)
{
    static Replay_t replay;
    int unpaced = play_burst(&replay, false);
    int64_t unpaced_delay_ms = replay.longest_delay_ms;
    int paced = play_burst(&replay, true);

    (void)state;
    print_message("in time: %d of %d, paced %d; longest delay %lld ms, paced "
                  "%lld ms\n",
                  unpaced, replay.count, paced, (long long)unpaced_delay_ms,
                  (long long)replay.longest_delay_ms);
    /* Half of the objective of a nested call. */
    assert_true(replay.longest_delay_ms <= 75);
    assert_true(unpaced_delay_ms > 2000);
    /* The link carries 120 bodies until the last one is due. */
    assert_true(paced >= 110);
    assert_true(paced > unpaced);
}

/* Guards against senders that are cut off and keep the grants of all
   others. */
static void
test_stalled_sender(void **state)
{
    AprBodyPacing_t pacing;
    uint64_t id;
    int64_t now_ms = 1000;

    (void)state;
    AprBodyPacing_Init(&pacing, LINK_MBPS);
    for (uint64_t i = 0; i < 8; i++) {
        assert_true(
            AprBodyPacing_Offer(&pacing, i, true, BODY_BYTES, 3000, now_ms));
    }
    while (AprBodyPacing_NextGrant(&pacing, &id, now_ms) > 0) {
        assert_true(id == 0);
    }
    now_ms += 300;
    assert_int_equal(AprBodyPacing_WaitMs(&pacing, now_ms),
                     7 * BODY_BYTES / LINK_BYTES_PER_MS);
    assert_true(AprBodyPacing_NextGrant(&pacing, &id, now_ms) > 0);
    assert_int_equal(id, 1); /* 0 has all grants */
    AprBodyPacing_Free(&pacing);
}

/* Guards against a body that is refused although nothing else is received, or
   that keeps all others waiting because it is large. */
static void
test_very_large_body(void **state)
{
    AprBodyPacing_t pacing;
    uint64_t id;
    size_t size;
    size_t before_small = 0;
    int64_t now_ms = 1000;

    (void)state;
    AprBodyPacing_Init(&pacing, LINK_MBPS);
    assert_true(AprBodyPacing_Offer(&pacing, 1, true, 64 << 20, 500, now_ms));
    assert_true(AprBodyPacing_WaitMs(&pacing, now_ms) <= 110);
    assert_false(
        AprBodyPacing_Offer(&pacing, 2, true, BODY_BYTES, 50, now_ms));
    assert_true(
        AprBodyPacing_Offer(&pacing, 3, true, BODY_BYTES, 300, now_ms));
    do {
        size = AprBodyPacing_NextGrant(&pacing, &id, now_ms);
        assert_true(size > 0);
        before_small += id == 1 ? size : 0;
        AprBodyPacing_Receive(&pacing, id, size, ++now_ms);
    } while (id == 1);
    assert_true(before_small <= 131072);
    AprBodyPacing_Free(&pacing);
}

/* Guards against chunked bodies that stop after their first grant, and against
   bytes that a sender sends without a grant. */
static void
test_unknown_length_and_early_bytes(void **state)
{
    AprBodyPacing_t pacing;
    uint64_t id;
    size_t size;

    (void)state;
    AprBodyPacing_Init(&pacing, LINK_MBPS);
    assert_true(AprBodyPacing_Offer(&pacing, 1, false, 0, 500, 1000));
    for (int i = 0; i < 5; i++) {
        size = AprBodyPacing_NextGrant(&pacing, &id, 1000 + i);
        assert_true(size > 0);
        assert_int_equal(AprBodyPacing_NextGrant(&pacing, &id, 1000 + i), 0);
        AprBodyPacing_Receive(&pacing, 1, size, 1001 + i);
    }
    AprBodyPacing_Remove(&pacing, 1);
    assert_true(AprBodyPacing_Offer(&pacing, 2, true, 30000, 500, 2000));
    AprBodyPacing_Receive(&pacing, 2, 30000, 2001);
    assert_int_equal(AprBodyPacing_WaitMs(&pacing, 2001), 0);
    assert_int_equal(AprBodyPacing_NextGrant(&pacing, &id, 2002), 0);
    AprBodyPacing_Free(&pacing);
}

/* Guards against a host whose link is full and whose idle backend server makes
   it look like the best one: by its reports, and when the reports stop. */
static void
test_full_link_is_not_chosen(void **state)
{
    AprNetworkDelay_t delay = {0};
    AprUsualLoad_t usual = {.work_per_slot_ms = 50, .cost_ms = 60};
    AprHostCandidate_t busy = {.slots = 6,
                               .has_work = true,
                               .work_ms = 600,
                               .pace = 1,
                               .same_domain = true};
    AprHostCandidate_t full = busy;

    (void)state;
    for (int i = 0; i < 20; i++) {
        AprNetworkDelay_Add(&delay, 800, 1000 + i);
    }
    assert_in_range(AprNetworkDelay_Get(&delay, 1020), 700, 800);
    assert_true(AprNetworkDelay_MustAdvertise(&delay, 1020));
    assert_false(AprNetworkDelay_MustAdvertise(&delay, 1100));
    full.work_ms = 0;
    full.network_delay_ms = AprNetworkDelay_Get(&delay, 1020);
    assert_true(AprHostCandidate_ScoreMs(&full, &usual) >
                AprHostCandidate_ScoreMs(&busy, &usual));
    /* An old report still tells that the queue cannot be empty yet. */
    full.age_ms = 600;
    assert_true(AprHostCandidate_ScoreMs(&full, &usual) > 150);
    full.network_delay_ms = 0;
    full.silent_ms = 400;
    assert_true(AprHostCandidate_ScoreMs(&full, &usual) >
                AprHostCandidate_ScoreMs(&busy, &usual));
    assert_int_equal(AprNetworkDelay_Get(&delay, 2000), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_burst_of_uploads),
        cmocka_unit_test(test_stalled_sender),
        cmocka_unit_test(test_very_large_body),
        cmocka_unit_test(test_unknown_length_and_early_bytes),
        cmocka_unit_test(test_full_link_is_not_chosen),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
