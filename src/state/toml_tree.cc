#include "internal/config_tree.h"

#include <exception>
#include <fstream>
#include <glib.h>
#include <sstream>
#include <stdexcept>
#include <string>

/* Assertions of the TOML library fail for some malformed files, for instance
   for "[=]". They must not end the process, which may be one that reloads its
   settings. */
struct TomlAssertion : std::logic_error {
    using std::logic_error::logic_error;
};

[[noreturn]] static void
fail_toml_assertion(const char *condition)
{
    throw TomlAssertion(condition);
}

#define TOML_ASSERT(condition) \
    ((condition) ? (void)0 : fail_toml_assertion(#condition))

#include <toml++/toml.h>

/* TOML parser wrapper. It is the only C++ file of the library, because no C
   library for TOML is packaged. No exception may propagate out of it. */

static AprTree_t *copy_node(const toml::node &node, const char *key);

static void
copy_children(AprTree_t *tree, const toml::node &node)
{
    if (const toml::table *table = node.as_table()) {
        for (auto &&[name, child] : *table) {
            std::string text(name.str());

            AprTree_Append(tree, copy_node(child, text.c_str()));
        }
    }
    else if (const toml::array *array = node.as_array()) {
        for (const toml::node &child : *array) {
            AprTree_Append(tree, copy_node(child, nullptr));
        }
    }
}

static AprTree_t *
copy_node(const toml::node &node, const char *key)
{
    int line = static_cast<int>(node.source().begin.line);
    AprTree_t *tree = AprTree_New(APR_TREE_OTHER, key, line);

    if (node.is_table() || node.is_array()) {
        tree->type = node.is_table() ? APR_TREE_TABLE : APR_TREE_ARRAY;
        copy_children(tree, node);
    }
    else if (const auto *text = node.as_string()) {
        /* A C string ends at its first NUL. Text that contains one stays
           OTHER, which every field rejects. */
        if (text->get().find('\0') == std::string::npos) {
            tree->type = APR_TREE_TEXT;
            tree->text = g_strdup(text->get().c_str());
        }
    }
    else if (const auto *integer = node.as_integer()) {
        tree->type = APR_TREE_INTEGER;
        tree->integer = integer->get();
        tree->number = static_cast<double>(integer->get());
    }
    else if (const auto *number = node.as_floating_point()) {
        tree->type = APR_TREE_NUMBER;
        tree->number = number->get();
    }
    return tree;
}

/* Parses a TOML file into a new tree, which the caller frees with
   AprTree_Free. Returns APR_E_IO when the file cannot be read or is empty, and
   APR_E_PARSE with the line of the error, 0 if it is not known, when its
   syntax is invalid. */
extern "C" int
AprTree_ReadToml(const char *path, AprTree_t **tree, int *line,
                 AprError_t *error)
{
    *tree = nullptr;
    *line = 0;
    try {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream content;

        if (!file || !(content << file.rdbuf())) {
            return AprError_Set(error, APR_E_IO, APR_STEP_CONFIG, path,
                                "cannot be read or is empty; check that the "
                                "file exists and is readable");
        }
        *tree = copy_node(toml::parse(content.str()), nullptr);
        return APR_OK;
    } catch (const toml::parse_error &fault) {
        *line = static_cast<int>(fault.source().begin.line);
        return AprError_Set(error, APR_E_PARSE, APR_STEP_CONFIG, path,
                            "TOML syntax: %s",
                            std::string(fault.description()).c_str());
    } catch (const TomlAssertion &fault) {
        return AprError_Set(error, APR_E_PARSE, APR_STEP_CONFIG, path,
                            "TOML syntax: a key or value is malformed (%s)",
                            fault.what());
    } catch (const std::exception &fault) {
        return AprError_Set(error, APR_E_IO, APR_STEP_CONFIG, path,
                            "cannot be read: %s", fault.what());
    }
}
