#include <stdlib.h>

#include "internal/ctl.h"

static char *
join_texts(const json_t *list)
{
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *item = json_string_value(json_array_get(list, i));

        g_string_append_printf(text, "%s%s", i == 0 ? "" : ",",
                               item == NULL ? "?" : item);
    }
    return g_string_free(text, FALSE);
}

static void
print_members(FILE *out, const json_t *members)
{
    fprintf(out, "\n%-20s %-9s %-14s %-21s %-20s %s\n", "HOST", "STATE",
            "DOMAIN", "ADMIN", "SERVICES", "WITNESSES");
    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *member = json_array_get(members, i);
        char *services = join_texts(json_object_get(member, "services"));
        char *witnesses = join_texts(json_object_get(member, "witnesses"));

        fprintf(out, "%-20s %-9s %-14s %-21s %-20s %s\n",
                AprCtl_Text(member, "host"), AprCtl_Text(member, "state"),
                AprCtl_Text(member, "failure_domain"),
                AprCtl_Text(member, "admin"), services, witnesses);
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
                AprCtl_Text(rank, "name"), AprCtl_Integer(rank, "queued"),
                AprCtl_Integer(rank, "answered"),
                AprCtl_Integer(rank, "not_run"),
                AprCtl_Integer(rank, "unknown"));
    }
}

static void
print_service(FILE *out, const json_t *service)
{
    json_t *partitions = json_object_get(service, "partitions");
    const char *host;
    json_t *count;

    fprintf(
        out,
        "\nservice %s: generation %lld, %lld unowned, %lld hot, %lld of "
        "%lld slots in use\n",
        AprCtl_Text(service, "name"), AprCtl_Integer(service, "generation"),
        AprCtl_Integer(service, "unowned"), AprCtl_Integer(service, "hot"),
        AprCtl_Integer(service, "running"), AprCtl_Integer(service, "slots"));
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
            AprCtl_Text(status, "host"), AprCtl_Text(status, "cell"),
            AprCtl_Integer(status, "record_version"),
            AprCtl_Integer(status, "generation"),
            json_is_true(json_object_get(status, "lease_valid")) ? "valid"
                                                                 : "NOT VALID",
            AprCtl_Text(status, "store"));
    print_members(out, json_object_get(status, "members"));
    for (size_t i = 0; i < json_array_size(services); i++) {
        print_service(out, json_array_get(services, i));
    }
}

/* Prints the cell as the process at --admin sees it; ranks and slots are
   those of that process. */
int
AprCtl_Status(AprCtl_t *ctl)
{
    json_t *status;
    int result = AprCtl_RequireAdmin(ctl);

    if (result == APR_CTL_OK) {
        result = AprCtl_Get(ctl, ctl->admin, "/status", &status);
    }
    if (result != APR_CTL_OK) {
        return result;
    }
    if (ctl->json) {
        AprCtl_PrintJson(ctl, status);
        return APR_CTL_OK;
    }
    print_status(ctl->out, status);
    json_decref(status);
    return APR_CTL_OK;
}

/* Prints the owner of a key. */
int
AprCtl_Where(AprCtl_t *ctl)
{
    char *path;
    json_t *place;
    int result = AprCtl_RequireAdmin(ctl);

    if (result != APR_CTL_OK) {
        return result;
    }
    path = AprCtl_Path("/where", "service", ctl->arguments[0], "key",
                       ctl->arguments[1], NULL);
    result = AprCtl_Get(ctl, ctl->admin, path, &place);
    g_free(path);
    if (result != APR_CTL_OK) {
        return result;
    }
    if (ctl->json) {
        AprCtl_PrintJson(ctl, place);
        return APR_CTL_OK;
    }
    fprintf(ctl->out, "%s %s: partition %lld, owner %s, epoch %lld, %s\n",
            AprCtl_Text(place, "service"), AprCtl_Text(place, "key"),
            AprCtl_Integer(place, "partition"),
            AprCtl_Text(place, "owner")[0] == '\0'
                ? "none"
                : AprCtl_Text(place, "owner"),
            AprCtl_Integer(place, "epoch"), AprCtl_Text(place, "callers"));
    json_decref(place);
    return APR_CTL_OK;
}
