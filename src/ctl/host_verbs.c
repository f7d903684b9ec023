#include <string.h>

#include "internal/ctl.h"

/* A process responds before it completes a move or a removal, so apricotctl
   polls for the result. 50 polls of 200 ms (10 s) allow for a move, which may
   wait 2 s for requests in flight, and for a slow store. */
#define POLL_INTERVAL_US 200000
#define MAX_POLLS 50

/* Prints the response unchanged, because operators and tools read it. */
static void
print_dump(const AprCtl_t *ctl, const json_t *response)
{
    json_dumpf(response, ctl->out,
               ctl->print_json ? JSON_COMPACT : JSON_INDENT(2));
    fputc('\n', ctl->out);
}

static void
report_success(const AprCtl_t *ctl, const char *host, const char *detail)
{
    if (ctl->print_json) {
        AprCtl_PrintJson(ctl, json_pack("{s:b, s:s, s:s}", "ok", 1, "host",
                                        host, "detail", detail));
    }
    else {
        fprintf(ctl->out, "%s: %s\n", host, detail);
    }
}

/* Prints the internal state of the process on a host. */
int
AprCtl_RunDump(AprCtl_t *ctl)
{
    char address[APR_ADDRESS_SIZE];
    json_t *response;
    int result = AprCtl_FindAdminAddress(ctl, ctl->arguments[0], address,
                                         sizeof(address));

    if (result == APR_CTL_OK) {
        result = AprCtl_HttpGet(ctl, address, "/dump", &response);
    }
    if (result == APR_CTL_OK) {
        print_dump(ctl, response);
        json_decref(response);
    }
    return result;
}

/* Posts a command to the process on the host of the first argument and prints
   detail when it is accepted. */
static int
post_host_command(const AprCtl_t *ctl, const char *path, const char *detail)
{
    char address[APR_ADDRESS_SIZE];
    const char *host = ctl->arguments[0];
    json_t *response;
    int result = AprCtl_FindAdminAddress(ctl, host, address, sizeof(address));

    if (result == APR_CTL_OK) {
        result = AprCtl_HttpPost(ctl, address, path, &response);
    }
    if (result == APR_CTL_OK) {
        json_decref(response);
        report_success(ctl, host, detail);
    }
    return result;
}

/* Asks a host to move all its partitions to other hosts and to accept none. */
int
AprCtl_RunDrain(AprCtl_t *ctl)
{
    return post_host_command(
        ctl, "/drain",
        "draining; apricotctl status shows 0 partitions when "
        "the drain is complete");
}

/* Cancels a drain, so that the host accepts partitions again. */
int
AprCtl_RunUndrain(AprCtl_t *ctl)
{
    return post_host_command(ctl, "/undrain", "active");
}

/* Returns a borrowed reference; NULL when the host is not a member. */
static const json_t *
find_member(const json_t *status, const char *host)
{
    const json_t *members = json_object_get(status, "members");

    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *member = json_array_get(members, i);

        if (strcmp(AprCtl_GetText(member, "host"), host) == 0) {
            return member;
        }
    }
    return NULL;
}

/* Rejects a host that is not a member or is draining, because a move to it
   could only time out. */
static int
check_move_target(const AprCtl_t *ctl, const char *host)
{
    const json_t *member;
    json_t *status;
    int result = AprCtl_HttpGet(ctl, ctl->admin_address, "/status", &status);

    if (result != APR_CTL_OK) {
        return result;
    }
    member = find_member(status, host);
    if (member == NULL) {
        result = AprCtl_Fail(ctl, APR_CTL_FAILED,
                             "host %s is not a member; apricotctl status "
                             "lists the members",
                             host);
    }
    else if (strcmp(AprCtl_GetText(member, "state"), "draining") == 0) {
        result =
            AprCtl_Fail(ctl, APR_CTL_FAILED,
                        "host %s is draining; run apricotctl undrain on it "
                        "first",
                        host);
    }
    json_decref(status);
    return result;
}

/* Reads the owner of the key from GET /where; "" when it has none. */
static int
fetch_owner(const AprCtl_t *ctl, char *owner, size_t size)
{
    char *path = AprCtl_FormatPath("/where", "service", ctl->arguments[0],
                                   "key", ctl->arguments[1], NULL);
    json_t *location;
    int result = AprCtl_HttpGet(ctl, ctl->admin_address, path, &location);

    if (result == APR_CTL_OK) {
        g_strlcpy(owner, AprCtl_GetText(location, "owner"), size);
        json_decref(location);
    }
    g_free(path);
    return result;
}

/* Posts the move to the current owner. */
static int
request_move(const AprCtl_t *ctl, const char *owner)
{
    char address[APR_ADDRESS_SIZE];
    json_t *response = NULL;
    char *path =
        AprCtl_FormatPath("/move", "service", ctl->arguments[0], "key",
                          ctl->arguments[1], "to", ctl->arguments[2], NULL);
    int result = AprCtl_FindAdminAddress(ctl, owner, address, sizeof(address));

    if (result == APR_CTL_OK) {
        result = AprCtl_HttpPost(ctl, address, path, &response);
    }
    json_decref(response);
    g_free(path);
    return result;
}

static int
report_move(const AprCtl_t *ctl, const char *previous_owner)
{
    if (ctl->print_json) {
        AprCtl_PrintJson(
            ctl, json_pack("{s:b, s:s, s:s, s:s, s:s}", "ok", 1, "service",
                           ctl->arguments[0], "key", ctl->arguments[1], "from",
                           previous_owner, "owner", ctl->arguments[2]));
    }
    else {
        fprintf(ctl->out, "%s %s: owner %s, before %s\n", ctl->arguments[0],
                ctl->arguments[1], ctl->arguments[2], previous_owner);
    }
    return APR_CTL_OK;
}

static int
wait_for_owner(const AprCtl_t *ctl, const char *previous_owner)
{
    char owner[APR_NAME_SIZE];

    for (int i = 0; i < MAX_POLLS; i++) {
        int result = fetch_owner(ctl, owner, sizeof(owner));

        if (result != APR_CTL_OK) {
            return result;
        }
        if (strcmp(owner, ctl->arguments[2]) == 0) {
            return report_move(ctl, previous_owner);
        }
        g_usleep(POLL_INTERVAL_US);
    }
    return AprCtl_Fail(ctl, APR_CTL_FAILED,
                       "the move was started but not completed in time; the "
                       "owner is still %s; check apricotctl status and the "
                       "log of that host",
                       owner[0] == '\0' ? "none" : owner);
}

/* Moves the partition of a key and waits for the new owner. Only the owner may
   reassign its partitions, so the command goes to the current owner. */
int
AprCtl_RunMove(AprCtl_t *ctl)
{
    char owner[APR_NAME_SIZE];
    int result = AprCtl_RequireAdminAddress(ctl);

    if (result == APR_CTL_OK) {
        result = check_move_target(ctl, ctl->arguments[2]);
    }
    if (result == APR_CTL_OK) {
        result = fetch_owner(ctl, owner, sizeof(owner));
    }
    if (result != APR_CTL_OK) {
        return result;
    }
    if (owner[0] == '\0') {
        return AprCtl_Fail(ctl, APR_CTL_FAILED,
                           "the key has no owner now; it gets one when a host "
                           "with a live backend server is a member");
    }
    if (strcmp(owner, ctl->arguments[2]) == 0) {
        return report_move(ctl, owner);
    }
    result = request_move(ctl, owner);
    return result == APR_CTL_OK ? wait_for_owner(ctl, owner) : result;
}

static int
wait_for_removal(const AprCtl_t *ctl, const char *host)
{
    for (int i = 0; i < MAX_POLLS; i++) {
        json_t *status;
        int result =
            AprCtl_HttpGet(ctl, ctl->admin_address, "/status", &status);
        bool present;

        if (result != APR_CTL_OK) {
            return result;
        }
        present = find_member(status, host) != NULL;
        json_decref(status);
        if (!present) {
            return APR_CTL_OK;
        }
        g_usleep(POLL_INTERVAL_US);
    }
    return AprCtl_Fail(ctl, APR_CTL_FAILED,
                       "the removal was accepted but %s is still a member; "
                       "check that the store is available and that the "
                       "process on the host has ended (it joins again while "
                       "it runs)",
                       host);
}

/* Removes a member without the consent of its witnesses; needs
   --confirm-dead. */
int
AprCtl_RunRemoveHost(AprCtl_t *ctl)
{
    const char *host = ctl->arguments[0];
    json_t *response = NULL;
    char *path;
    int result = AprCtl_RequireAdminAddress(ctl);

    if (result != APR_CTL_OK) {
        return result;
    }
    if (!ctl->confirm_dead) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "remove-host needs --confirm-dead; first make sure "
                           "that the process on %s has ended, because "
                           "otherwise its keys could have two owners",
                           host);
    }
    path = AprCtl_FormatPath("/remove-host", "host", host, "confirm", "dead",
                             NULL);
    result = AprCtl_HttpPost(ctl, ctl->admin_address, path, &response);
    g_free(path);
    json_decref(response);
    if (result == APR_CTL_OK) {
        result = wait_for_removal(ctl, host);
    }
    if (result == APR_CTL_OK) {
        report_success(ctl, host, "removed");
    }
    return result;
}
