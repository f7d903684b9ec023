#include "internal/settings_file.h"

#include <string.h>

/* The end of a longer path is shown in messages, so that the fault still has
   room in the detail of an error. */
#define SHOWN_PATH_SIZE 80

/* Keeps the first fault; later ones often follow from it. An AprFieldReport_t
   whose context is the file. */
void
AprSettingsFile_Report(void *context, int line, const char *field,
                       const char *message)
{
    AprSettingsFile_t *file = context;
    size_t length = strlen(file->path);
    const char *shown = file->path;

    if (file->failed) {
        return;
    }
    file->failed = true;
    if (length >= SHOWN_PATH_SIZE) {
        shown += length - SHOWN_PATH_SIZE + 1;
    }
    AprError_Set(file->error, APR_E_INVALID, APR_STEP_SETTINGS, shown,
                 "%s:%d: %s: %s", shown, line, field, message);
}

/* Sets defaults and reads all fields into `target`. Returns APR_OK, or
   APR_E_INVALID with the file, the line, the field and the fix in one line of
   the error's detail. */
int
AprSettingsFile_Read(AprSettingsFile_t *file, const AprField_t *fields,
                     int count, void *target, AprFieldLines_t *lines)
{
    AprFieldReader_t reader = {fields, count, false, AprSettingsFile_Report,
                               file};
    AprError_t syntax;
    AprTree_t *tree;
    int line;

    AprFields_SetDefaults(fields, count, target);
    if (AprTree_ReadToml(file->path, &tree, &line, &syntax) != APR_OK) {
        AprSettingsFile_Report(file, line, "file", syntax.detail);
        return APR_E_INVALID;
    }
    AprFields_Read(&reader, tree, target, lines);
    AprFields_RequireAll(&reader, lines);
    AprTree_Free(tree);
    return file->failed ? APR_E_INVALID : APR_OK;
}
