#ifndef APRICOT_TESTS_FUZZ_COMMON_H
#define APRICOT_TESTS_FUZZ_COMMON_H

/* Seeded, structure-aware fuzzing. An edge is one interface for external
   input: it generates an input, mutates it and checks what the parser makes of
   it. The random numbers of a case depend only on the seed, the edge and the
   number of the case, so that each case can be repeated alone. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Memory that an input may hold for each of its bytes: the default memory
   limit of a gateway (256 MB) over the largest item of the store and the
   largest frame (4 MiB). FUZZ_HELD_BASE is for what does not depend on the
   input. */
#define FUZZ_HELD_PER_BYTE 60
#define FUZZ_HELD_BASE 16384
#define FUZZ_MAX_INPUT_BYTES 65536

typedef struct Fuzz_t {
    uint64_t state;    /* of the random numbers */
    uint64_t accepted; /* cases whose input was accepted */
    GString *input;    /* of the case; printed if it fails */
} Fuzz_t;

typedef struct FuzzEdge_t {
    const char *name;
    uint64_t short_cases; /* of `make fuzz-short` */
    void (*run)(Fuzz_t *fuzz);
} FuzzEdge_t;

#define FUZZ_HTTP_EDGES 3
#define FUZZ_PLATFORM_EDGES 2
#define FUZZ_ITEM_EDGES 3
extern const FuzzEdge_t fuzz_http_edges[FUZZ_HTTP_EDGES];
extern const FuzzEdge_t fuzz_frame_edge;
extern const FuzzEdge_t fuzz_platform_edges[FUZZ_PLATFORM_EDGES];
extern const FuzzEdge_t fuzz_item_edges[FUZZ_ITEM_EDGES];

uint64_t Fuzz_Below(Fuzz_t *fuzz, uint64_t limit);
bool Fuzz_OneIn(Fuzz_t *fuzz, uint64_t count);
uint64_t Fuzz_Integer(Fuzz_t *fuzz);
void Fuzz_Expand(Fuzz_t *fuzz, const char *template);
void Fuzz_Mutate(Fuzz_t *fuzz);
size_t Fuzz_PartSize(Fuzz_t *fuzz, size_t remaining);
char *Fuzz_Duplicate(const char *data, size_t size);
size_t Fuzz_Allocated(void);
void Fuzz_CheckHeld(const Fuzz_t *fuzz, size_t allocated_before);
void Fuzz_Check(bool condition, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
