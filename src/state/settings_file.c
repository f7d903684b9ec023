#include "internal/settings_file.h"

#include <string.h>

/* Bytes of a path in a message, with the terminator. Only the end of a longer
   path is shown, so that the rest of the message fits into the detail of an
   error. */
#define SHOWN_PATH_SIZE 80

/* Records an error of a settings file unless there is one already, because
   later errors are often caused by the first. This is an AprFieldReport_t;
   `context` is the AprSettingsFile_t. */
void
AprSettingsFile_Report(void *context, int line, const char *field,
                       const char *message)
{
    AprSettingsFile_t *file = context;
    size_t length = strlen(file->path);
    const char *shown_path = file->path;

    if (file->failed) {
        return;
    }
    file->failed = true;
    if (length >= SHOWN_PATH_SIZE) {
        shown_path += length - SHOWN_PATH_SIZE + 1;
    }
    AprError_Set(file->error, APR_E_INVALID, APR_STEP_SETTINGS, shown_path,
                 "%s:%d: %s: %s", shown_path, line, field, message);
}

/* Sets defaults and reads all fields of a settings file into `target`. Returns
   APR_OK or APR_E_INVALID. The detail of the error is then one line with the
   file, the line, the field and how to correct it. */
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
    AprFields_ReportMissing(&reader, lines);
    AprTree_Free(tree);
    return file->failed ? APR_E_INVALID : APR_OK;
}
