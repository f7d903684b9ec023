#include <string.h>

#include "internal/ctl.h"

/* Moves and removals are carried out after the answer. A move may wait 2 s
   for work in flight and for a slow store. */
#define POLL_INTERVAL_US 200000
#define POLL_COUNT 50

/* Prints an answer as it is: `dump` is meant for reading and for tools. */
static void
print_indented(const AprCtl_t *ctl, const json_t *answer)
{
    json_dumpf(answer, ctl->out, ctl->json ? JSON_COMPACT : JSON_INDENT(2));
    fputc('\n', ctl->out);
}

static void
report_done(const AprCtl_t *ctl, const char *host, const char *done)
{
    if (ctl->json) {
        AprCtl_PrintJson(ctl, json_pack("{s:b, s:s, s:s}", "ok", 1, "host",
                                        host, "detail", done));
    }
    else {
        fprintf(ctl->out, "%s: %s\n", host, done);
    }
}

/* Prints the internal state of the process on a host. */
int
AprCtl_Dump(AprCtl_t *ctl)
{
    char address[APR_ADDRESS_SIZE];
    json_t *answer;
    int result =
        AprCtl_FindHost(ctl, ctl->arguments[0], address, sizeof(address));

    if (result == APR_CTL_OK) {
        result = AprCtl_Get(ctl, address, "/dump", &answer);
    }
    if (result == APR_CTL_OK) {
        print_indented(ctl, answer);
        json_decref(answer);
    }
    return result;
}

static int
post_to_host(const AprCtl_t *ctl, const char *path, const char *done)
{
    char address[APR_ADDRESS_SIZE];
    const char *host = ctl->arguments[0];
    json_t *answer;
    int result = AprCtl_FindHost(ctl, host, address, sizeof(address));

    if (result == APR_CTL_OK) {
        result = AprCtl_Post(ctl, address, path, &answer);
    }
    if (result == APR_CTL_OK) {
        json_decref(answer);
        report_done(ctl, host, done);
    }
    return result;
}

/* Asks a host to move all its partitions away and to take no new ones. */
int
AprCtl_Drain(AprCtl_t *ctl)
{
    return post_to_host(ctl, "/drain",
                        "draining; apricotctl status shows 0 partitions when "
                        "it is done");
}

/* Ends a drain. */
int
AprCtl_Undrain(AprCtl_t *ctl)
{
    return post_to_host(ctl, "/undrain", "active");
}

static const json_t *
find_member(const json_t *status, const char *host)
{
    const json_t *members = json_object_get(status, "members");

    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *member = json_array_get(members, i);

        if (strcmp(AprCtl_Text(member, "host"), host) == 0) {
            return member;
        }
    }
    return NULL;
}

/* A move to a host that takes no partitions would only time out. */
static int
check_target(const AprCtl_t *ctl, const char *host)
{
    const json_t *member;
    json_t *status;
    int result = AprCtl_Get(ctl, ctl->admin, "/status", &status);

    if (result != APR_CTL_OK) {
        return result;
    }
    member = find_member(status, host);
    if (member == NULL) {
        result =
            AprCtl_Fail(ctl, APR_CTL_FAILED, "host %s is not a member", host);
    }
    else if (strcmp(AprCtl_Text(member, "state"), "draining") == 0) {
        result = AprCtl_Fail(ctl, APR_CTL_FAILED,
                             "host %s is draining; undrain it first", host);
    }
    json_decref(status);
    return result;
}

static int
get_owner(const AprCtl_t *ctl, char *owner, size_t size)
{
    char *path = AprCtl_Path("/where", "service", ctl->arguments[0], "key",
                             ctl->arguments[1], NULL);
    json_t *place;
    int result = AprCtl_Get(ctl, ctl->admin, path, &place);

    if (result == APR_CTL_OK) {
        g_strlcpy(owner, AprCtl_Text(place, "owner"), size);
        json_decref(place);
    }
    g_free(path);
    return result;
}

static int
start_move(const AprCtl_t *ctl, const char *owner)
{
    char address[APR_ADDRESS_SIZE];
    json_t *answer = NULL;
    char *path = AprCtl_Path("/move", "service", ctl->arguments[0], "key",
                             ctl->arguments[1], "to", ctl->arguments[2], NULL);
    int result = AprCtl_FindHost(ctl, owner, address, sizeof(address));

    if (result == APR_CTL_OK) {
        result = AprCtl_Post(ctl, address, path, &answer);
    }
    json_decref(answer);
    g_free(path);
    return result;
}

static int
report_move(const AprCtl_t *ctl, const char *from)
{
    if (ctl->json) {
        AprCtl_PrintJson(ctl, json_pack("{s:b, s:s, s:s, s:s, s:s}", "ok", 1,
                                        "service", ctl->arguments[0], "key",
                                        ctl->arguments[1], "from", from,
                                        "owner", ctl->arguments[2]));
    }
    else {
        fprintf(ctl->out, "%s %s: owner %s, before %s\n", ctl->arguments[0],
                ctl->arguments[1], ctl->arguments[2], from);
    }
    return APR_CTL_OK;
}

static int
wait_for_owner(const AprCtl_t *ctl, const char *from)
{
    char owner[APR_NAME_SIZE];

    for (int i = 0; i < POLL_COUNT; i++) {
        int result = get_owner(ctl, owner, sizeof(owner));

        if (result != APR_CTL_OK) {
            return result;
        }
        if (strcmp(owner, ctl->arguments[2]) == 0) {
            return report_move(ctl, from);
        }
        g_usleep(POLL_INTERVAL_US);
    }
    return AprCtl_Fail(ctl, APR_CTL_FAILED,
                       "the move was started but not completed in time; the "
                       "owner is still %s, look at apricotctl status and at "
                       "the log of that host",
                       owner[0] == '\0' ? "none" : owner);
}

/* Moves the partition of a key. Only the owner may reassign its partitions,
   so that it is looked up first and gets the command. */
int
AprCtl_Move(AprCtl_t *ctl)
{
    char owner[APR_NAME_SIZE];
    int result = AprCtl_RequireAdmin(ctl);

    if (result == APR_CTL_OK) {
        result = check_target(ctl, ctl->arguments[2]);
    }
    if (result == APR_CTL_OK) {
        result = get_owner(ctl, owner, sizeof(owner));
    }
    if (result != APR_CTL_OK) {
        return result;
    }
    if (owner[0] == '\0') {
        return AprCtl_Fail(ctl, APR_CTL_FAILED,
                           "the key has no owner now; it gets one as soon as "
                           "a host with a live backend server is a member");
    }
    if (strcmp(owner, ctl->arguments[2]) == 0) {
        return report_move(ctl, owner);
    }
    result = start_move(ctl, owner);
    return result == APR_CTL_OK ? wait_for_owner(ctl, owner) : result;
}

static int
wait_for_removal(const AprCtl_t *ctl, const char *host)
{
    for (int i = 0; i < POLL_COUNT; i++) {
        json_t *status;
        int result = AprCtl_Get(ctl, ctl->admin, "/status", &status);
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
                       "the store may be down, or its process runs and has "
                       "joined again",
                       host);
}

/* Removes a member without the consent of witnesses. */
int
AprCtl_RemoveHost(AprCtl_t *ctl)
{
    const char *host = ctl->arguments[0];
    json_t *answer = NULL;
    char *path;
    int result = AprCtl_RequireAdmin(ctl);

    if (result != APR_CTL_OK) {
        return result;
    }
    if (!ctl->confirm_dead) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "remove-host needs --confirm-dead; make sure first "
                           "that the process on %s has ended, because its "
                           "keys could have two owners otherwise",
                           host);
    }
    path = AprCtl_Path("/remove-host", "host", host, "confirm", "dead", NULL);
    result = AprCtl_Post(ctl, ctl->admin, path, &answer);
    g_free(path);
    json_decref(answer);
    if (result == APR_CTL_OK) {
        result = wait_for_removal(ctl, host);
    }
    if (result == APR_CTL_OK) {
        report_done(ctl, host, "removed");
    }
    return result;
}
