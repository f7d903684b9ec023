#include "fuzz_common.h"

#include <sanitizer/common_interface_defs.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A case that runs longer is reported as a hang. Cases take milliseconds; the
   rest is for a busy machine. */
#define CASE_TIMEOUT_S 60
#define DEFAULT_SEED "20261207"

/* Shorter runs need not have both accepted and rejected inputs. */
#define MIN_CASES_OF_BOTH 100

static const FuzzEdge_t *edge; /* NULL: none runs */
static unsigned long long seed;
static unsigned long long case_number;
static Fuzz_t current;

static const struct {
    const FuzzEdge_t *edges;
    size_t count;
} groups[] = {{fuzz_http_edges, FUZZ_HTTP_EDGES},
              {&fuzz_frame_edge, 1},
              {fuzz_platform_edges, FUZZ_PLATFORM_EDGES},
              {fuzz_item_edges, FUZZ_ITEM_EDGES}};

/* No single allocation for an input of up to FUZZ_MAX_INPUT_BYTES exceeds
   FUZZ_HELD_PER_BYTE times its size. run_case() finds leaks. */
const char *__asan_default_options(void);
const char *
__asan_default_options(void)
{
    return "max_allocation_size_mb=4:allocator_may_return_null=0:"
           "handle_abort=1:detect_leaks=0";
}

/* Part of the run-time library of the sanitizers, without a header in GCC. */
size_t __sanitizer_get_current_allocated_bytes(void);

/* Returns the bytes that are allocated on the heap. */
size_t
Fuzz_Allocated(void)
{
    return __sanitizer_get_current_allocated_bytes();
}

/* Prints the case, how to repeat it and its input. */
static void
print_case(void)
{
    if (edge != NULL) {
        fprintf(stderr,
                "fuzz: edge %s, seed %llu, case %llu failed; repeat with\n"
                "make fuzz EDGE=%s SEED=%llu CASE=%llu\ninput:\n",
                edge->name, seed, case_number, edge->name, seed, case_number);
        edge = NULL;
        for (size_t i = 0; i < current.input->len; i++) {
            int c = (unsigned char)current.input->str[i];

            fprintf(stderr, c >= ' ' && c < 0x7f ? "%c" : "\\x%02x", c);
        }
        fputc('\n', stderr);
    }
}

/* Ends the program through the sanitizer, which calls print_case(). */
static void
on_timeout(int signal_number)
{
    (void)signal_number;
    abort();
}

/* Ends the program with the message and the case unless the condition
   holds. */
void
Fuzz_Check(bool condition, const char *format, ...)
{
    va_list arguments;

    if (!condition) {
        va_start(arguments, format);
        vfprintf(stderr, format, arguments);
        va_end(arguments);
        fputc('\n', stderr);
        print_case();
        exit(1);
    }
}

/* Checks the memory that the input holds, from the allocated bytes before it
   was parsed. */
void
Fuzz_CheckHeld(const Fuzz_t *fuzz, size_t allocated_before)
{
    size_t limit = FUZZ_HELD_BASE + FUZZ_HELD_PER_BYTE * fuzz->input->len;
    size_t now = Fuzz_Allocated();

    Fuzz_Check(now <= allocated_before + limit, "%zu bytes are held",
               now - allocated_before);
}

/* Returns the next random number (SplitMix64) modulo `limit`. */
uint64_t
Fuzz_Below(Fuzz_t *fuzz, uint64_t limit)
{
    uint64_t value = fuzz->state += 0x9e3779b97f4a7c15u;

    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return (value ^ (value >> 31)) % limit;
}

/* Returns true with a probability of 1 / `count`. */
bool
Fuzz_OneIn(Fuzz_t *fuzz, uint64_t count)
{
    return Fuzz_Below(fuzz, count) == 0;
}

/* Returns a number near a power of two or its negative. */
uint64_t
Fuzz_Integer(Fuzz_t *fuzz)
{
    uint64_t value = (1ull << Fuzz_Below(fuzz, 64)) + Fuzz_Below(fuzz, 5) - 2;

    return Fuzz_OneIn(fuzz, 3) ? 0 - value : value;
}

/* Appends a template to the input: '#' stands for a number below 100, '~' for
   a text, usually a short one, and <a|b> for one of the alternatives. */
void
Fuzz_Expand(Fuzz_t *fuzz, const char *template)
{
    for (const char *at = template; *at != '\0'; at++) {
        if (*at == '#') {
            g_string_append_printf(fuzz->input, "%d",
                                   (int)Fuzz_Below(fuzz, 100));
        }
        else if (*at == '~') {
            uint64_t max = Fuzz_OneIn(fuzz, 20) ? 2000 : 12;

            for (uint64_t n = Fuzz_Below(fuzz, max); n > 0; n--) {
                g_string_append_c(fuzz->input,
                                  "ab09-._/:"[Fuzz_Below(fuzz, 9)]);
            }
        }
        else if (*at == '<') {
            const char *end = strchr(at, '>');
            g_autofree char *list = g_strndup(at + 1, (gsize)(end - at - 1));
            char **choices = g_strsplit(list, "|", -1);

            Fuzz_Expand(fuzz,
                        choices[Fuzz_Below(fuzz, g_strv_length(choices))]);
            g_strfreev(choices);
            at = end;
        }
        else {
            g_string_append_c(fuzz->input, *at);
        }
    }
}

/* Appends a value that is unusual in most places. */
static void
append_odd_value(Fuzz_t *fuzz)
{
    if (Fuzz_OneIn(fuzz, 2)) {
        g_string_append_printf(fuzz->input,
                               Fuzz_OneIn(fuzz, 2) ? "%lld" : "%llu",
                               (long long)Fuzz_Integer(fuzz));
        return;
    }
    Fuzz_Expand(fuzz,
                "<0|-1|#|0.5|1e16|1e300|1e999|null|true|\"~\"|\"\"|[]|{}|"
                "[[#,#,#]]|{\"a\":[]}|nan|0x#|\r|\n|\t| |:|,|\"|[|{|\x7f|"
                "\xff|\xdd\xff\xff\xff\xff|\\u0000>");
}

/* Replaces the bytes of the input from `at` up to `end` by an odd value. */
static void
replace_part(Fuzz_t *fuzz, size_t at, size_t end)
{
    GString *input = fuzz->input;

    fuzz->input = g_string_new(NULL);
    append_odd_value(fuzz);
    g_string_erase(input, (gssize)at, (gssize)(end - at));
    g_string_insert_len(input, (gssize)at, fuzz->input->str,
                        (gssize)fuzz->input->len);
    g_string_free(fuzz->input, TRUE);
    fuzz->input = input;
}

/* Changes the input in one place. Most changes concern a value, or the part of
   a line or list between two separators. */
static void
mutate_once(Fuzz_t *fuzz)
{
    GString *input = fuzz->input;
    size_t at = Fuzz_Below(fuzz, input->len);
    size_t end = at + 1 + Fuzz_Below(fuzz, MIN(input->len - at, 16));
    uint64_t action = Fuzz_Below(fuzz, 16);

    if (action >= 4) { /* a whole part or, from 8, value */
        const char *first = action < 8 ? ",\n{[" : ",\n{}[]: =;";
        const char *last = action < 8 ? ",\n" : ",\n}] =;\r";

        while (at > 0 && strchr(first, input->str[at - 1]) == NULL) {
            at--;
        }
        end = at;
        while (end < input->len && strchr(last, input->str[end]) == NULL) {
            end++;
        }
        end += action < 8 && end < input->len;
    }
    if (action == 0) {
        input->str[at] ^= (char)(1u << Fuzz_Below(fuzz, 8));
    }
    else if (action == 1 && Fuzz_OneIn(fuzz, 3)) {
        g_string_truncate(input, at);
    }
    else if (action == 2 || action == 4 || action == 5) {
        g_string_insert_len(input, (gssize)end, input->str + at,
                            (gssize)(end - at));
    }
    else if (action == 3 || action >= 8) {
        replace_part(fuzz, at, end);
    }
    else {
        g_string_erase(input, (gssize)at, (gssize)(end - at));
    }
}

/* Changes the input in up to three places, or leaves it as it is. */
void
Fuzz_Mutate(Fuzz_t *fuzz)
{
    for (uint64_t n = Fuzz_Below(fuzz, 4); n > 0 && fuzz->input->len > 0;
         n--) {
        mutate_once(fuzz);
    }
    g_string_truncate(fuzz->input,
                      MIN(fuzz->input->len, FUZZ_MAX_INPUT_BYTES));
}

/* Returns the size of the next part of a split input, between 1 and
   `remaining`, which is above 0. */
size_t
Fuzz_PartSize(Fuzz_t *fuzz, size_t remaining)
{
    size_t size = 1 + Fuzz_Below(fuzz, Fuzz_OneIn(fuzz, 3) ? remaining : 9);

    return MIN(size, remaining);
}

/* Copies bytes into memory of just their size, so that a read beyond their end
   is detected. The caller frees it with free(). */
char *
Fuzz_Duplicate(const char *data, size_t size)
{
    return size == 0 ? g_strdup("") : g_memdup2(data, size);
}

/* Runs the current case. Returns whether the heap has grown. */
static bool
run_once(void)
{
    size_t before = Fuzz_Allocated();

    current.state = seed * 0xd1342543de82ef95u + case_number +
                    ((uint64_t)g_str_hash(edge->name) << 32);
    current.state = Fuzz_Below(&current, UINT64_MAX);
    g_string_truncate(current.input, 0);
    alarm(CASE_TIMEOUT_S);
    edge->run(&current);
    alarm(0);
    return Fuzz_Allocated() > before;
}

/* Runs the current case. When the heap has grown, repeats it, since libraries
   allocate some memory once; a leak grows each time. */
static void
run_case(void)
{
    uint64_t accepted;
    bool grows;

    current.input = g_string_sized_new(2 * FUZZ_MAX_INPUT_BYTES);
    grows = run_once();
    accepted = current.accepted;
    for (int i = 0; grows && i < 2; i++) {
        grows = run_once();
    }
    Fuzz_Check(!grows, "memory leaks");
    current.accepted = accepted;
    g_string_free(current.input, TRUE);
}

/* Runs an edge for a time, or its short run when `seconds` is 0, and prints a
   line. A generator of inputs of which all or none are accepted would test
   only half of the parser, so this fails. */
static void
run_edge(double seconds)
{
    gint64 start_us = g_get_monotonic_time();
    gint64 end_us = start_us + (gint64)(seconds * 1e6);

    current.accepted = 0;
    for (case_number = 0; seconds > 0 ? g_get_monotonic_time() < end_us
                                      : case_number < edge->short_cases;
         case_number++) {
        run_case();
    }
    printf("%-14s seed %llu: %9llu cases, %9llu accepted, %6.1f s\n",
           edge->name, seed, case_number, (unsigned long long)current.accepted,
           (double)(g_get_monotonic_time() - start_us) / 1e6);
    fflush(stdout);
    if (case_number >= MIN_CASES_OF_BOTH &&
        (current.accepted == 0 || current.accepted == case_number)) {
        fprintf(stderr, "fuzz: all or none are accepted\n");
        exit(1);
    }
}

/* Returns a variable of the environment, or the default if it is missing or
   empty. */
static const char *
get_option(const char *name, const char *default_value)
{
    const char *value = getenv(name);

    return value == NULL || value[0] == '\0' ? default_value : value;
}

/* Runs the edge EDGE or all of them, with the seed SEED, the case CASE alone
   or for SECONDS in all; default: the short run. These are variables of the
   environment. */
int
main(void)
{
    const char *name = get_option("EDGE", "");
    const char *number = get_option("CASE", "");
    double seconds = strtod(get_option("SECONDS", "0"), NULL);
    size_t edge_count = 0;

    signal(SIGALRM, on_timeout);
    __sanitizer_set_death_callback(print_case);
    seed = strtoull(get_option("SEED", DEFAULT_SEED), NULL, 10);
    for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
        edge_count += groups[i].count;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
        for (size_t j = 0; j < groups[i].count; j++) {
            edge = &groups[i].edges[j];
            if (name[0] != '\0' && strcmp(name, edge->name) != 0) {
                continue;
            }
            case_number = strtoull(number, NULL, 10);
            if (number[0] != '\0') {
                run_case();
                continue;
            }
            run_edge(name[0] != '\0' ? seconds : seconds / (double)edge_count);
        }
    }
    return 0;
}
