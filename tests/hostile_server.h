#ifndef APRICOT_TESTS_HOSTILE_SERVER_H
#define APRICOT_TESTS_HOSTILE_SERVER_H

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOSTILE_MAX_CONNECTIONS 16

/* What the server does after the bytes of a response. */
typedef enum HostileEnd_t {
    HOSTILE_KEEP,   /* reads the next request */
    HOSTILE_CLOSE,  /* closes the connection */
    HOSTILE_RESET,  /* closes it with a reset */
    HOSTILE_REPEAT, /* sends `repeat` until the peer closes */
    HOSTILE_IGNORE  /* answers nothing on this connection any more */
} HostileEnd_t;

/* A response. "{id}" in `text` stands for the id of the request and "{last}"
   for that of the previous request. */
typedef struct HostileResponse_t {
    const char *text;
    const char *repeat;
    HostileEnd_t end;
} HostileResponse_t;

/* HTTP server whose responses a test scripts, byte for byte. The request
   number n gets the response number n, or the last one. */
typedef struct HostileServer_t {
    const HostileResponse_t *responses;
    int response_count;
    const char *id_header; /* "Name: " of the header with the request's id */
    int fd_count;
    struct pollfd fds[HOSTILE_MAX_CONNECTIONS + 1];   /* [0]: listener */
    const char *repeats[HOSTILE_MAX_CONNECTIONS + 1]; /* being repeated */
    bool ignored[HOSTILE_MAX_CONNECTIONS + 1];
    char address[64];
    char last_id[256];
    atomic_int requests;
    atomic_int open_connections;
    atomic_long bytes_sent;
    atomic_bool close_all; /* closes the connections; cleared when done */
    atomic_bool stop;
    pthread_t thread;
} HostileServer_t;

static inline void
hostile_close(HostileServer_t *server, int i)
{
    close(server->fds[i].fd);
    server->fd_count--;
    server->fds[i] = server->fds[server->fd_count];
    server->repeats[i] = server->repeats[server->fd_count];
    server->ignored[i] = server->ignored[server->fd_count];
    atomic_fetch_sub(&server->open_connections, 1);
}

static inline void
hostile_reset(HostileServer_t *server, int i)
{
    struct linger option = {1, 0};

    setsockopt(server->fds[i].fd, SOL_SOCKET, SO_LINGER, &option,
               sizeof(option));
    hostile_close(server, i);
}

static inline void
hostile_send(HostileServer_t *server, int fd, const char *text)
{
    ssize_t sent = send(fd, text, strlen(text), MSG_NOSIGNAL | MSG_DONTWAIT);

    if (sent > 0) {
        atomic_fetch_add(&server->bytes_sent, sent);
    }
}

/* Replaces the placeholders of a response. */
static inline void
hostile_expand(const char *text, const char *id, const char *last, char *out,
               size_t size)
{
    size_t used = 0;

    while (*text != '\0' && used + 1 < size) {
        if (strncmp(text, "{id}", 4) == 0) {
            used += (size_t)snprintf(out + used, size - used, "%s", id);
            text += 4;
        }
        else if (strncmp(text, "{last}", 6) == 0) {
            used += (size_t)snprintf(out + used, size - used, "%s", last);
            text += 6;
        }
        else {
            out[used++] = *text++;
        }
    }
    out[used] = '\0';
}

static inline void
hostile_handle_request(HostileServer_t *server, int i)
{
    char request[8192];
    char response[8192];
    char id[256] = "";
    int number = atomic_load(&server->requests);
    const HostileResponse_t *script =
        &server->responses[number < server->response_count
                               ? number
                               : server->response_count - 1];
    ssize_t size =
        recv(server->fds[i].fd, request, sizeof(request) - 1, MSG_DONTWAIT);
    const char *header;

    if (size <= 0) {
        hostile_close(server, i);
        return;
    }
    if (server->ignored[i]) {
        return;
    }
    request[size] = '\0';
    header = strstr(request, server->id_header);
    if (header != NULL) {
        sscanf(header + strlen(server->id_header), "%255[^\r\n]", id);
    }
    atomic_fetch_add(&server->requests, 1);
    hostile_expand(script->text, id, server->last_id, response,
                   sizeof(response));
    memcpy(server->last_id, id, sizeof(id));
    hostile_send(server, server->fds[i].fd, response);
    if (script->end == HOSTILE_REPEAT) {
        server->repeats[i] = script->repeat;
        server->fds[i].events = POLLIN | POLLOUT;
    }
    else if (script->end == HOSTILE_CLOSE) {
        hostile_close(server, i);
    }
    else if (script->end == HOSTILE_RESET) {
        usleep(20 * 1000); /* lets the peer read what was sent */
        hostile_reset(server, i);
    }
    else if (script->end == HOSTILE_IGNORE) {
        server->ignored[i] = true;
    }
}

static inline void
hostile_repeat(HostileServer_t *server, int i)
{
    char chunk[16384];
    size_t length = strlen(server->repeats[i]);
    size_t used = 0;
    ssize_t sent;

    while (used + length <= sizeof(chunk)) {
        memcpy(chunk + used, server->repeats[i], length);
        used += length;
    }
    sent = send(server->fds[i].fd, chunk, used, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN) {
        hostile_close(server, i);
    }
    else if (sent > 0) {
        atomic_fetch_add(&server->bytes_sent, sent);
    }
}

static inline void *
run_hostile_server(void *argument)
{
    HostileServer_t *server = argument;

    while (!atomic_load(&server->stop)) {
        if (atomic_load(&server->close_all)) {
            while (server->fd_count > 1) {
                hostile_close(server, server->fd_count - 1);
            }
            atomic_store(&server->close_all, false);
        }
        if (poll(server->fds, (nfds_t)server->fd_count, 20) <= 0) {
            continue;
        }
        for (int i = server->fd_count - 1; i > 0; i--) {
            if ((server->fds[i].revents & (POLLERR | POLLHUP)) != 0) {
                hostile_close(server, i);
            }
            else if ((server->fds[i].revents & POLLIN) != 0) {
                hostile_handle_request(server, i);
            }
            else if ((server->fds[i].revents & POLLOUT) != 0) {
                hostile_repeat(server, i);
            }
        }
        if (server->fds[0].revents != 0 &&
            server->fd_count <= HOSTILE_MAX_CONNECTIONS) {
            int at = server->fd_count++;

            server->fds[at] = (struct pollfd){
                accept(server->fds[0].fd, NULL, NULL), POLLIN, 0};
            server->repeats[at] = NULL;
            server->ignored[at] = false;
            atomic_fetch_add(&server->open_connections, 1);
        }
    }
    while (server->fd_count > 0) {
        close(server->fds[--server->fd_count].fd);
    }
    return NULL;
}

/* Starts a server at a loopback address; port 0 selects a free one. Returns
   false when it cannot listen. */
static inline bool
start_hostile_server(HostileServer_t *server, int port, const char *id_header,
                     const HostileResponse_t *responses, int count)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int yes = 1;

    memset(server, 0, sizeof(*server));
    server->responses = responses;
    server->response_count = count;
    server->id_header = id_header;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons((uint16_t)port);
    if (bind(fd, (struct sockaddr *)&address, size) != 0 ||
        listen(fd, 16) != 0) {
        close(fd);
        return false;
    }
    getsockname(fd, (struct sockaddr *)&address, &size);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
             ntohs(address.sin_port));
    server->fds[server->fd_count++] = (struct pollfd){fd, POLLIN, 0};
    return pthread_create(&server->thread, NULL, run_hostile_server, server) ==
           0;
}

/* Closes all connections and replaces the script. */
static inline void
set_hostile_script(HostileServer_t *server, const HostileResponse_t *responses,
                   int count)
{
    atomic_store(&server->close_all, true);
    while (atomic_load(&server->close_all)) {
        usleep(1000);
    }
    server->responses = responses;
    server->response_count = count;
    atomic_store(&server->requests, 0);
}

static inline void
stop_hostile_server(HostileServer_t *server)
{
    atomic_store(&server->stop, true);
    pthread_join(server->thread, NULL);
}

#endif
