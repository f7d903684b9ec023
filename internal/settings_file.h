#ifndef APRICOT_INTERNAL_SETTINGS_FILE_H
#define APRICOT_INTERNAL_SETTINGS_FILE_H

#include "apricot/error.h"
#include "internal/field_table.h"

/* Context for reading a settings file; keeps the first error. */
typedef struct AprSettingsFile_t {
    const char *path;
    AprError_t *error; /* set to the first error */
    bool failed;
} AprSettingsFile_t;

void AprSettingsFile_Report(void *context, int line, const char *field,
                            const char *message);
int AprSettingsFile_Read(AprSettingsFile_t *file, const AprField_t *fields,
                         int count, void *target, AprFieldLines_t *lines);

#endif
