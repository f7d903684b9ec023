#ifndef APRICOT_INTERNAL_SERVICE_FIELDS_H
#define APRICOT_INTERNAL_SERVICE_FIELDS_H

#include "apricot/service_config.h"
#include "internal/field_table.h"

/* The fields of a service file, then those that only the JSON form has. */
extern const AprField_t apr_service_fields[];
extern const int apr_service_file_field_count;
extern const int apr_service_json_field_count;

/* Reads one document into a configuration that holds the defaults. The line
   of each rank goes to rank_lines, which has APR_MAX_RANKS elements. */
int AprService_Read(const AprFieldReader_t *reader, const AprTree_t *tree,
                    AprServiceConfig_t *config, AprFieldLines_t *lines,
                    int *rank_lines);
void AprService_SortRanks(AprServiceConfig_t *config);
int AprService_FindRankName(const AprServiceConfig_t *config,
                            const char *name);

#endif
