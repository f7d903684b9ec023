#ifndef APRICOT_TESTS_DISCONNECTING_SERVER_H
#define APRICOT_TESTS_DISCONNECTING_SERVER_H

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* HTTP server that responds to each request and keeps the connection open. A
   request for the operation `cut` is read, and its connection is closed
   without a response. */
typedef struct DisconnectingServer_t {
    int fd_count;
    struct pollfd fds[8]; /* the first one is the listening socket */
    char address[64];     /* IP:port */
    atomic_int requests;
    atomic_bool stop;
    pthread_t thread;
} DisconnectingServer_t;

/* Returns false when the connection is to be closed. */
static inline bool
handle_request(DisconnectingServer_t *server, int fd)
{
    char response[128];
    char text[4096];
    ssize_t size = recv(fd, text, sizeof(text) - 1, 0);
    const char *id;

    if (size <= 0) {
        return false;
    }
    text[size] = '\0';
    atomic_fetch_add(&server->requests, 1);
    id = strstr(text, "Apricot-Request: ");
    snprintf(response, sizeof(response),
             "HTTP/1.1 200 OK\r\n%.*s\r\nContent-Length: 0\r\n\r\n",
             id == NULL ? 9 : (int)strcspn(id, "\r"),
             id == NULL ? "Server: t" : id);
    return strstr(text, "/cut/") == NULL &&
           send(fd, response, strlen(response), MSG_NOSIGNAL) > 0;
}

static inline void *
run_disconnecting_server(void *argument)
{
    DisconnectingServer_t *server = argument;

    while (!atomic_load(&server->stop)) {
        if (poll(server->fds, server->fd_count, 20) <= 0) {
            continue;
        }
        for (int i = server->fd_count - 1; i > 0; i--) {
            if (server->fds[i].revents != 0 &&
                !handle_request(server, server->fds[i].fd)) {
                close(server->fds[i].fd);
                server->fds[i] = server->fds[--server->fd_count];
            }
        }
        if (server->fds[0].revents != 0) {
            server->fds[server->fd_count++] = (struct pollfd){
                accept(server->fds[0].fd, NULL, NULL), POLLIN, 0};
        }
    }
    while (server->fd_count > 0) {
        close(server->fds[--server->fd_count].fd);
    }
    return NULL;
}

static inline void
start_disconnecting_server(DisconnectingServer_t *server)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    memset(server, 0, sizeof(*server));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, size), 0);
    assert_int_equal(listen(fd, 8), 0);
    getsockname(fd, (struct sockaddr *)&address, &size);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
             ntohs(address.sin_port));
    server->fds[server->fd_count++] = (struct pollfd){fd, POLLIN, 0};
    pthread_create(&server->thread, NULL, run_disconnecting_server, server);
}

static inline void
stop_disconnecting_server(DisconnectingServer_t *server)
{
    atomic_store(&server->stop, true);
    pthread_join(server->thread, NULL);
}

#endif
