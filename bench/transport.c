/* Cost of the peer protocol. Prints lines `name value unit`; times and rates
   are the median of ROUNDS rounds. The baselines transfer the same number of
   bytes over a plain loopback socket in the same run. */

#include <gsl/gsl_rng.h>
#include <gsl/gsl_statistics.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "internal/peer_loop.h"
#include "internal/session.h"

#define DEFAULT_SEED 20261204
#define BODY_BYTES 512
#define ROUNDS 5
#define CODEC_CALLS 50000
#define STREAM_MESSAGES 100000
#define ECHO_ROUND_TRIPS 5000
#define IDLE_LINKS 500
#define BATCH_BYTES (64 * 1024)
#define NS_PER_S 1e9
#define NS_PER_US 1e3
#define PEER_KEY "bench key"

static char body[BODY_BYTES];
static AprMessage_t request;
static atomic_bool expect_link_down; /* links may go down from now on */
static char *payload;                /* the encoded request */
static size_t payload_size;

static double
clock_ns(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return (double)now.tv_sec * NS_PER_S + (double)now.tv_nsec;
}

static double
now_ns(void)
{
    return clock_ns(CLOCK_MONOTONIC);
}

/* Ends the program with a message if the condition is false. */
static void
require(bool condition, const char *what)
{
    if (!condition) {
        fprintf(stderr, "bench/transport: %s failed\n", what);
        exit(EXIT_FAILURE);
    }
}

static void
print_value(const char *name, double value, const char *unit)
{
    printf("transport.%s %.10g %s\n", name, value, unit);
}

static void
print_median(const char *name, double samples[ROUNDS], const char *unit)
{
    print_value(name, gsl_stats_median(samples, 1, ROUNDS), unit);
}

static void
make_request(unsigned long seed)
{
    gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);

    gsl_rng_set(random, seed);
    for (size_t i = 0; i < sizeof(body); i++) {
        body[i] = (char)gsl_rng_uniform_int(random, 256);
    }
    gsl_rng_free(random);
    request.type = APR_MSG_REQUEST;
    request.request.service = AprBytes_FromText("desk");
    request.request.operation = AprBytes_FromText("book");
    request.request.key = AprBytes_FromText("job/123456");
    request.request.key_hash = 0x0123456789abcdef;
    request.request.remaining_ms = 200;
    request.request.has_idempotency_key = true;
    request.request.caller = AprBytes_FromText("dealer-17");
    request.request.content_type = AprBytes_FromText("application/json");
    request.request.body = (AprBytes_t){body, sizeof(body)};
    require(AprMessage_Encode(&request, &payload, &payload_size) == APR_OK,
            "encode");
}

static void
encode_once(void *context)
{
    char *data;
    size_t size;

    (void)context;
    require(AprMessage_Encode(&request, &data, &size) == APR_OK, "encode");
    free(data);
}

static void
decode_once(void *context)
{
    AprMessage_t *message;

    (void)context;
    require(AprMessage_Decode(payload, payload_size, &message) == APR_OK,
            "decode");
    AprMessage_Free(message);
}

static void
mac_once(void *context)
{
    uint8_t mac[APR_FRAME_MAC_SIZE];

    AprFrame_ComputeMac(context, APR_FROM_INITIATOR, 1, payload, payload_size,
                        mac);
}

static void
bench_calls(const char *name, void (*call)(void *context), void *context)
{
    double samples[ROUNDS];

    for (int round = 0; round < ROUNDS; round++) {
        double begin = now_ns();

        for (int i = 0; i < CODEC_CALLS; i++) {
            call(context);
        }
        samples[round] = (now_ns() - begin) / CODEC_CALLS;
    }
    print_median(name, samples, "ns");
}

static void
bench_codec(void)
{
    AprMacKey_t key;

    hmac_sha256_set_key(&key, sizeof(PEER_KEY) - 1, (const uint8_t *)PEER_KEY);
    print_value("request_bytes", (double)payload_size, "bytes");
    bench_calls("encode", encode_once, NULL);
    bench_calls("decode", decode_once, NULL);
    bench_calls("mac", mac_once, &key);
}

/* One end of the measured link. */
typedef struct Peer_t {
    AprPeerNet_t *net;
    sem_t up;
    sem_t done;
    long expected; /* messages until `done` is posted */
    long received;
    bool echoes; /* sends each message back */
} Peer_t;

static void
on_up(void *context, AprLinkHandle_t link, const char *host,
      uint64_t incarnation)
{
    Peer_t *peer = context;

    (void)link;
    (void)host;
    (void)incarnation;
    sem_post(&peer->up);
}

static void
on_down(void *context, AprLinkHandle_t link)
{
    (void)context;
    (void)link;
    require(atomic_load(&expect_link_down), "link");
}

static void
on_message(void *context, AprLinkHandle_t link, AprMessage_t *message)
{
    Peer_t *peer = context;

    if (peer->echoes) {
        require(AprPeerNet_Send(peer->net, link, message) == APR_OK, "answer");
        return;
    }
    AprMessage_Free(message);
    if (++peer->received == peer->expected) {
        peer->received = 0;
        sem_post(&peer->done);
    }
}

static void
on_undelivered(void *context, AprLinkHandle_t link, AprMessage_t *message)
{
    (void)message;
    on_down(context, link);
}

static void
start_peer(Peer_t *peer, const char *host)
{
    AprPeerSettings_t settings = {host, 1, "127.0.0.1:0", PEER_KEY};
    AprPeerCallbacks_t callbacks = {on_up, on_down, on_message, on_undelivered,
                                    peer};
    AprClock_t clock = AprClock_System();

    memset(peer, 0, sizeof(*peer));
    sem_init(&peer->up, 0, 0);
    sem_init(&peer->done, 0, 0);
    peer->net = AprPeerNet_Start(&settings, &clock, &callbacks, NULL, NULL);
    require(peer->net != NULL, "start");
}

/* Sends a copy of the request; retries while the queue is full. */
static void
send_copy(AprPeerNet_t *net, AprLinkHandle_t link)
{
    AprMessage_t *copy = AprMessage_Copy(&request);

    while (AprPeerNet_Send(net, link, copy) != APR_OK) {
        usleep(100);
    }
}

static double
thread_cpu_ns(AprPeerNet_t *net)
{
    clockid_t id;

    require(pthread_getcpuclockid(net->thread, &id) == 0, "cpu clock");
    return clock_ns(id);
}

static void
bench_stream(Peer_t *from, Peer_t *to, AprLinkHandle_t link)
{
    double rate[ROUNDS];
    double send_cpu[ROUNDS];
    double receive_cpu[ROUNDS];

    to->expected = STREAM_MESSAGES;
    for (int round = 0; round < ROUNDS; round++) {
        double send_begin = thread_cpu_ns(from->net);
        double receive_begin = thread_cpu_ns(to->net);
        double begin = now_ns();

        for (int i = 0; i < STREAM_MESSAGES; i++) {
            send_copy(from->net, link);
        }
        sem_wait(&to->done);
        rate[round] = STREAM_MESSAGES / ((now_ns() - begin) / NS_PER_S);
        send_cpu[round] =
            (thread_cpu_ns(from->net) - send_begin) / STREAM_MESSAGES;
        receive_cpu[round] =
            (thread_cpu_ns(to->net) - receive_begin) / STREAM_MESSAGES;
    }
    print_median("link_rate", rate, "messages/s");
    print_median("link_send_cpu", send_cpu, "ns");
    print_median("link_receive_cpu", receive_cpu, "ns");
}

static void
bench_link_echo(Peer_t *from, Peer_t *to, AprLinkHandle_t link)
{
    double samples[ROUNDS];

    to->echoes = true;
    from->expected = 1;
    for (int round = 0; round < ROUNDS; round++) {
        double begin = now_ns();

        for (int i = 0; i < ECHO_ROUND_TRIPS; i++) {
            send_copy(from->net, link);
            sem_wait(&from->done);
        }
        samples[round] = (now_ns() - begin) / ECHO_ROUND_TRIPS / NS_PER_US;
    }
    print_median("link_round_trip", samples, "us");
}

static void
bench_link(void)
{
    Peer_t from;
    Peer_t to;
    AprLinkHandle_t link;

    atomic_store(&expect_link_down, false);
    start_peer(&from, "a");
    start_peer(&to, "b");
    link = AprPeerNet_OpenLink(from.net, AprPeerNet_ListenAddress(to.net));
    sem_wait(&from.up);
    sem_wait(&to.up);
    bench_stream(&from, &to, link);
    bench_link_echo(&from, &to, link);
    atomic_store(&expect_link_down, true);
    AprPeerNet_Stop(from.net);
    AprPeerNet_Stop(to.net);
}

static double
resident_bytes(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    long pages = 0;

    require(file != NULL && fscanf(file, "%*d %ld", &pages) == 1, "statm");
    fclose(file);
    return (double)pages * (double)sysconf(_SC_PAGESIZE);
}

/* Measures the memory in user space of both ends of an idle link. */
static void
bench_idle_links(void)
{
    Peer_t from;
    Peer_t to;
    double before;

    atomic_store(&expect_link_down, false);
    start_peer(&from, "a");
    start_peer(&to, "b");
    before = resident_bytes();
    for (int i = 0; i < IDLE_LINKS; i++) {
        AprPeerNet_OpenLink(from.net, AprPeerNet_ListenAddress(to.net));
    }
    for (int i = 0; i < IDLE_LINKS; i++) {
        sem_wait(&from.up);
        sem_wait(&to.up);
    }
    print_value("idle_link_memory", (resident_bytes() - before) / IDLE_LINKS,
                "bytes");
    atomic_store(&expect_link_down, true);
    AprPeerNet_Stop(from.net);
    AprPeerNet_Stop(to.net);
}

/* Creates a connected pair of TCP loopback sockets. */
static void
socket_pair(int fds[2])
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int one = 1;

    require(bind(listener, (struct sockaddr *)&address, size) == 0 &&
                listen(listener, 1) == 0 &&
                getsockname(listener, (struct sockaddr *)&address, &size) == 0,
            "listen");
    fds[0] = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fds[0], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    require(connect(fds[0], (struct sockaddr *)&address, size) == 0,
            "connect");
    fds[1] = accept(listener, NULL, NULL);
    require(fds[1] >= 0, "accept");
    setsockopt(fds[1], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    close(listener);
}

static void
send_all(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t count = send(fd, bytes, size, MSG_NOSIGNAL);

        require(count > 0, "send");
        bytes += count;
        size -= (size_t)count;
    }
}

static size_t
frame_size(void)
{
    return APR_FRAME_HEADER_SIZE + payload_size;
}

/* Thread function: reads and discards the bytes of one stream. */
static void *
discard_stream(void *context)
{
    int fd = *(int *)context;
    size_t remaining = frame_size() * STREAM_MESSAGES;
    char *buffer = malloc(BATCH_BYTES);

    while (remaining > 0) {
        ssize_t count = recv(fd, buffer, BATCH_BYTES, 0);

        require(count > 0, "receive");
        remaining -= (size_t)count;
    }
    free(buffer);
    return NULL;
}

/* Sends as many bytes as the messages of the link have, in batches of the same
   size. */
static void
bench_plain_stream(const int fds[2])
{
    size_t batch = BATCH_BYTES / frame_size();
    char *bytes = calloc(batch, frame_size());
    double rate[ROUNDS];

    for (int round = 0; round < ROUNDS; round++) {
        int fd = fds[1];
        double begin = now_ns();
        pthread_t thread;

        pthread_create(&thread, NULL, discard_stream, &fd);
        for (size_t remaining = STREAM_MESSAGES; remaining > 0;) {
            size_t count = remaining < batch ? remaining : batch;

            send_all(fds[0], bytes, count * frame_size());
            remaining -= count;
        }
        pthread_join(thread, NULL);
        rate[round] = STREAM_MESSAGES / ((now_ns() - begin) / NS_PER_S);
    }
    free(bytes);
    print_median("baseline_plain_socket_rate", rate, "messages/s");
}

static void *
echo(void *context)
{
    int fd = *(int *)context;
    char *buffer = malloc(frame_size());

    for (long i = 0; i < (long)ROUNDS * ECHO_ROUND_TRIPS; i++) {
        require(recv(fd, buffer, frame_size(), MSG_WAITALL) ==
                    (ssize_t)frame_size(),
                "echo");
        send_all(fd, buffer, frame_size());
    }
    free(buffer);
    return NULL;
}

static void
bench_plain_echo(const int fds[2])
{
    char *buffer = calloc(1, frame_size());
    double samples[ROUNDS];
    int fd = fds[1];
    pthread_t thread;

    pthread_create(&thread, NULL, echo, &fd);
    for (int round = 0; round < ROUNDS; round++) {
        double begin = now_ns();

        for (int i = 0; i < ECHO_ROUND_TRIPS; i++) {
            send_all(fds[0], buffer, frame_size());
            require(recv(fds[0], buffer, frame_size(), MSG_WAITALL) ==
                        (ssize_t)frame_size(),
                    "echo");
        }
        samples[round] = (now_ns() - begin) / ECHO_ROUND_TRIPS / NS_PER_US;
    }
    pthread_join(thread, NULL);
    free(buffer);
    print_median("baseline_plain_socket_round_trip", samples, "us");
}

int
main(int argc, char **argv)
{
    unsigned long seed = argc > 1 ? strtoul(argv[1], NULL, 10) : DEFAULT_SEED;
    int fds[2];

    print_value("seed", (double)seed, "seed");
    make_request(seed);
    bench_codec();
    /* Must run before the streams: otherwise the links reuse the memory that
       they freed. */
    bench_idle_links();
    bench_link();
    socket_pair(fds);
    bench_plain_stream(fds);
    bench_plain_echo(fds);
    close(fds[0]);
    close(fds[1]);
    free(payload);
    return EXIT_SUCCESS;
}
