#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "internal/config_tree.h"

/* Creates a node without children. `key` is copied and may be NULL. */
AprTree_t *
AprTree_New(AprTreeType_t type, const char *key, int line)
{
    AprTree_t *tree = g_new0(AprTree_t, 1);

    tree->type = type;
    tree->line = line;
    tree->key = g_strdup(key);
    return tree;
}

/* Appends a node to a table or an array, which takes ownership of it. */
void
AprTree_Append(AprTree_t *parent, AprTree_t *child)
{
    if (parent->last == NULL) {
        parent->first = child;
    }
    else {
        parent->last->next = child;
    }
    parent->last = child;
}

/* Frees a node and all nodes below it; NULL is ignored. The recursion is
   bounded, because both parsers limit the nesting depth of a document. */
void
AprTree_Free(AprTree_t *tree)
{
    AprTree_t *child;

    if (tree == NULL) {
        return;
    }
    child = tree->first;
    while (child != NULL) {
        AprTree_t *next = child->next;

        AprTree_Free(child);
        child = next;
    }
    g_free(tree->key);
    g_free(tree->text);
    g_free(tree);
}

/* The child of a table with this key, or NULL. */
const AprTree_t *
AprTree_Find(const AprTree_t *table, const char *key)
{
    for (const AprTree_t *child = table->first; child != NULL;
         child = child->next) {
        if (child->key != NULL && strcmp(child->key, key) == 0) {
            return child;
        }
    }
    return NULL;
}

static AprTree_t *
create_scalar_from_json(const json_t *value, const char *key)
{
    AprTree_t *tree = AprTree_New(APR_TREE_OTHER, key, 0);

    if (json_is_string(value)) {
        tree->type = APR_TREE_TEXT;
        tree->text = g_strdup(json_string_value(value));
    }
    else if (json_is_integer(value)) {
        tree->type = APR_TREE_INTEGER;
        tree->integer = json_integer_value(value);
        tree->number = (double)tree->integer;
    }
    else if (json_is_real(value)) {
        tree->type = APR_TREE_NUMBER;
        tree->number = json_real_value(value);
    }
    return tree;
}

/* Copies a JSON value into a new tree, so that the validation of operators'
   files also applies to JSON from the store and from peers. */
AprTree_t *
AprTree_FromJson(const json_t *value, const char *key)
{
    AprTree_t *tree;
    const char *name;
    json_t *item;
    size_t index;

    if (json_is_object(value)) {
        tree = AprTree_New(APR_TREE_TABLE, key, 0);
        json_object_foreach((json_t *)value, name, item)
        {
            AprTree_Append(tree, AprTree_FromJson(item, name));
        }
        return tree;
    }
    if (json_is_array(value)) {
        tree = AprTree_New(APR_TREE_ARRAY, key, 0);
        json_array_foreach(value, index, item)
        {
            AprTree_Append(tree, AprTree_FromJson(item, NULL));
        }
        return tree;
    }
    return create_scalar_from_json(value, key);
}
