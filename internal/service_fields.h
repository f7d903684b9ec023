#ifndef APRICOT_INTERNAL_SERVICE_FIELDS_H
#define APRICOT_INTERNAL_SERVICE_FIELDS_H

#include "apricot/service_config.h"
#include "internal/field_table.h"

/* The fields of a service file, followed by those that only the JSON form
   has. */
extern const AprField_t apr_service_fields[];
extern const int apr_service_file_field_count;
extern const int apr_service_json_field_count;

/* Reads a document into a configuration that holds the defaults. Writes the
   line of each rank to `rank_lines`, which has APR_MAX_RANKS elements. */
int AprServiceFields_Read(const AprFieldReader_t *reader,
                          const AprTree_t *tree, AprServiceConfig_t *config,
                          AprFieldLines_t *lines, int *rank_lines);
void AprServiceConfig_SortRanks(AprServiceConfig_t *config);
int AprServiceConfig_FindRankByName(const AprServiceConfig_t *config,
                                    const char *name);

#endif
