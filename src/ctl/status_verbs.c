#include <stdlib.h>

#include "internal/ctl.h"

/* Joins strings with commas; freed with g_free. */
static char *
join_strings(const json_t *list)
{
    GString *joined = g_string_new(NULL);

    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *item = json_string_value(json_array_get(list, i));

        g_string_append_printf(joined, "%s%s", i == 0 ? "" : ",",
                               item == NULL ? "?" : item);
    }
    return g_string_free(joined, FALSE);
}

static void
print_members(FILE *out, const json_t *members)
{
    fprintf(out, "\n%-20s %-9s %-14s %-21s %-20s %s\n", "HOST", "STATE",
            "DOMAIN", "ADMIN", "SERVICES", "WITNESSES");
    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *member = json_array_get(members, i);
        char *services = join_strings(json_object_get(member, "services"));
        char *witnesses = join_strings(json_object_get(member, "witnesses"));

        fprintf(out, "%-20s %-9s %-14s %-21s %-20s %s\n",
                AprCtl_GetText(member, "host"),
                AprCtl_GetText(member, "state"),
                AprCtl_GetText(member, "failure_domain"),
                AprCtl_GetText(member, "admin"), services, witnesses);
        g_free(services);
        g_free(witnesses);
    }
}

static void
print_ranks(FILE *out, const json_t *ranks)
{
    if (json_array_size(ranks) == 0) {
        return;
    }
    fprintf(out, "  %-16s %10s %12s %12s %12s\n", "RANK", "QUEUED", "ANSWERED",
            "NOT-RUN", "UNKNOWN");
    for (size_t i = 0; i < json_array_size(ranks); i++) {
        const json_t *rank = json_array_get(ranks, i);

        fprintf(out, "  %-16s %10lld %12lld %12lld %12lld\n",
                AprCtl_GetText(rank, "name"),
                AprCtl_GetInteger(rank, "queued"),
                AprCtl_GetInteger(rank, "answered"),
                AprCtl_GetInteger(rank, "not_run"),
                AprCtl_GetInteger(rank, "unknown"));
    }
}

static void
print_service(FILE *out, const json_t *service)
{
    json_t *partitions = json_object_get(service, "partitions");
    const char *host;
    json_t *count;

    fprintf(out,
            "\nservice %s: generation %lld, %lld unowned, %lld hot, %lld of "
            "%lld slots in use\n",
            AprCtl_GetText(service, "name"),
            AprCtl_GetInteger(service, "generation"),
            AprCtl_GetInteger(service, "unowned"),
            AprCtl_GetInteger(service, "hot"),
            AprCtl_GetInteger(service, "running"),
            AprCtl_GetInteger(service, "slots"));
    json_object_foreach(partitions, host, count)
    {
        fprintf(out, "  %-20s %6lld partitions\n", host,
                json_integer_value(count));
    }
    print_ranks(out, json_object_get(service, "ranks"));
}

static void
print_status(FILE *out, const json_t *status)
{
    const json_t *services = json_object_get(status, "services");

    fprintf(out,
            "host %s, cell %s, record version %lld, generation %lld, lease "
            "%s, store %s\n",
            AprCtl_GetText(status, "host"), AprCtl_GetText(status, "cell"),
            AprCtl_GetInteger(status, "record_version"),
            AprCtl_GetInteger(status, "generation"),
            json_is_true(json_object_get(status, "lease_valid")) ? "valid"
                                                                 : "NOT VALID",
            AprCtl_GetText(status, "store"));
    print_members(out, json_object_get(status, "members"));
    for (size_t i = 0; i < json_array_size(services); i++) {
        print_service(out, json_array_get(services, i));
    }
}

/* Prints the state of the cell as reported by the process at --admin. Ranks
   and slots are those of that process alone. */
int
AprCtl_RunStatus(AprCtl_t *ctl)
{
    json_t *status;
    int result = AprCtl_RequireAdminAddress(ctl);

    if (result == APR_CTL_OK) {
        result = AprCtl_HttpGet(ctl, ctl->admin_address, "/status", &status);
    }
    if (result != APR_CTL_OK) {
        return result;
    }
    if (ctl->print_json) {
        AprCtl_PrintJson(ctl, status);
        return APR_CTL_OK;
    }
    print_status(ctl->out, status);
    json_decref(status);
    return APR_CTL_OK;
}

/* Prints the partition, the owner and the address for callers of a key. */
int
AprCtl_RunWhere(AprCtl_t *ctl)
{
    char *path;
    json_t *location;
    int result = AprCtl_RequireAdminAddress(ctl);

    if (result != APR_CTL_OK) {
        return result;
    }
    path = AprCtl_FormatPath("/where", "service", ctl->arguments[0], "key",
                             ctl->arguments[1], NULL);
    result = AprCtl_HttpGet(ctl, ctl->admin_address, path, &location);
    g_free(path);
    if (result != APR_CTL_OK) {
        return result;
    }
    if (ctl->print_json) {
        AprCtl_PrintJson(ctl, location);
        return APR_CTL_OK;
    }
    fprintf(ctl->out, "%s %s: partition %lld, owner %s, epoch %lld, %s\n",
            AprCtl_GetText(location, "service"),
            AprCtl_GetText(location, "key"),
            AprCtl_GetInteger(location, "partition"),
            AprCtl_GetText(location, "owner")[0] == '\0'
                ? "none"
                : AprCtl_GetText(location, "owner"),
            AprCtl_GetInteger(location, "epoch"),
            AprCtl_GetText(location, "callers"));
    json_decref(location);
    return APR_CTL_OK;
}
