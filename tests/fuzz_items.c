/* Settings, key maps and generation records. */

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "apricot/gateway_settings.h"
#include "apricot/key_map.h"
#include "fuzz_common.h"
#include "internal/generation_record.h"

static void
run_settings(Fuzz_t *fuzz)
{
    AprGatewaySettings_t settings = {.host = "before"};
    AprError_t error = {0};
    char path[32];
    int fd = memfd_create("settings", MFD_CLOEXEC);

    Fuzz_Expand(
        fuzz,
        "host = \"h#\"\nfailure_domain = \"d#\"\ncpu_share = #.5\n[listen]\n"
        "callers = \"127.0.0.1:1#\"\npeers = \"127.0.0.1:2#\"\n"
        "control = \"127.0.0.1:3#\"\nmetrics = \"127.0.0.1:4#\"\n"
        "readiness = \"127.0.0.1:5#\"\n[backend]\nservice = \"s#\"\n"
        "address = \"127.0.0.1:6#\"\nheartbeat_s = 1.#\n[store]\n"
        "address = \"127.0.0.1:7#\"\n<|prefix = \"~\"\n>[limits]\n"
        "memory_mb = 2#\n[cold]\nprobe_ms = #\n[balancing]\n"
        "mode = \"<on|off|auto>\"\n[log]\nlevel = \"<info|warn>\"\n");
    Fuzz_Mutate(fuzz);
    Fuzz_Check(write(fd, fuzz->input->str, fuzz->input->len) ==
                   (ssize_t)fuzz->input->len,
               "no file in memory");
    g_snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
    if (AprGatewaySettings_Load(path, &settings, &error) == APR_OK) {
        fuzz->accepted++;
        Fuzz_Check(settings.cpu_share > 0 && settings.cpu_share <= 1024 &&
                       settings.memory_mb >= 16 && settings.host[0] != '\0',
                   "settings are out of range");
    }
    else {
        Fuzz_Check(g_str_has_prefix(error.detail, path) &&
                       strchr(error.detail, '\n') == NULL,
                   "not one line with the file: %s", error.detail);
        Fuzz_Check(strcmp(settings.host, "before") == 0 &&
                       settings.cpu_share == 0,
                   "refused settings are changed");
    }
    close(fd);
}

/* Checks that the ranges of a map cover all keys in order. */
static void
check_map(const AprKeyMap_t *map)
{
    int next = 0;

    for (int i = 0; i < map->count; i++) {
        const AprKeyRange_t *range = &map->ranges[i];

        Fuzz_Check(range->first == next && range->last >= range->first &&
                       range->fence >= 0 && range->fence <= map->last_fence,
                   "range %d of a map", i);
        next = range->last + 1;
    }
    Fuzz_Check(next == APR_KEY_COUNT, "a map of %d keys", next);
}

static void
run_key_map(Fuzz_t *fuzz)
{
    int part = (int)Fuzz_Below(fuzz, APR_KEY_PARTS);
    int first = part * APR_KEYS_PER_PART;
    g_autofree char *bytes = NULL;
    size_t before;
    AprKeyMap_t map;
    AprKeyMap_t old;

    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, (int)Fuzz_Below(fuzz, 60000), 60999, "h1", "h2");
    AprKeyMap_Copy(&old, &map);
    g_string_printf(fuzz->input,
                    "{\"hosts\":[\"h1\",\"h2\",\"\"],\"ranges\":[[%d,0,5,-1],"
                    "[%d,1,7,0],[%d,2,9,-1]]}",
                    first + (int)Fuzz_Below(fuzz, 2000), first + 2500,
                    first + APR_KEYS_PER_PART - 1);
    Fuzz_Mutate(fuzz);
    bytes = Fuzz_Duplicate(fuzz->input->str, fuzz->input->len);
    before = Fuzz_Allocated();
    if (AprKeyMap_ParsePart(&map, part, bytes, fuzz->input->len) == APR_OK) {
        g_autofree char *text = AprKeyMap_SerializePart(&map, part);

        fuzz->accepted++;
        Fuzz_CheckHeld(fuzz, before);
        check_map(&map);
        Fuzz_Check((AprKeyMap_ChangedParts(&old, &map) & ~(1u << part)) == 0,
                   "another part of the map is changed");
        Fuzz_Check(AprKeyMap_ParsePart(&old, part, text, strlen(text)) ==
                           APR_OK &&
                       AprKeyMap_ChangedParts(&old, &map) == 0,
                   "an encoded part differs");
        AprKeyMap_Assign(&map, 1, 2, "h", NULL);
        check_map(&map);
    }
    else {
        Fuzz_Check(map.last_fence == old.last_fence &&
                       AprKeyMap_ChangedParts(&old, &map) == 0,
                   "a rejected part changes the map");
    }
    AprKeyMap_Free(&map);
    AprKeyMap_Free(&old);
}

static void
run_generation(Fuzz_t *fuzz)
{
    AprGenerationRecord_t record = {.generation = 3, .revision = 4};
    AprGenerationRecord_t again = {0};
    AprKvItem_t item = {.revision = 5};
    g_autofree char *bytes = NULL;
    g_autofree char *text = NULL;

    Fuzz_Expand(fuzz, "{\"id\":\"~\",\"born\":1##,\"generation\":1##}");
    Fuzz_Mutate(fuzz);
    item.value_size = fuzz->input->len;
    item.value = bytes = Fuzz_Duplicate(fuzz->input->str, item.value_size);
    if (AprGenerationRecord_Update(&record, &item) == APR_OK) {
        AprBackendIncarnation_t next = record.incarnation;
        json_t *root = json_loadb(bytes, item.value_size, 0, NULL);
        const char *id = json_string_value(json_object_get(root, "id"));

        fuzz->accepted++;
        Fuzz_Check(strcmp(id, next.id) == 0, "the id differs");
        json_decref(root);
        text = AprGenerationRecord_BeginWrite(&record, &next);
        item.value = text;
        item.value_size = strlen(text);
        Fuzz_Check(AprGenerationRecord_Update(&again, &item) == APR_OK &&
                       again.generation == record.generation &&
                       AprBackendIncarnation_Equal(&again.incarnation, &next),
                   "an encoded record differs");
        next.started_ms = ~next.started_ms;
        free(AprGenerationRecord_BeginWrite(&record, &next));
        Fuzz_Check(record.proposed_generation > record.generation,
                   "no next generation");
    }
    else {
        Fuzz_Check(record.generation == 3 && record.revision == 4 &&
                       record.incarnation.id[0] == '\0',
                   "a rejected record is changed");
    }
}

const FuzzEdge_t fuzz_item_edges[FUZZ_ITEM_EDGES] = {
    {"settings", 12000, run_settings},
    {"key-map", 60000, run_key_map},
    {"generation", 50000, run_generation},
};
