#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/** One fault of a YAML file, with where it is and what was expected there. */
struct YamlFault {
    std::string file;
    /** Counted from 1; 0 when the place is not known. */
    int line = 0;
    /** Counted from 1; 0 when the place is not known. */
    int column = 0;
    /** Path of the key, such as `data_centres[0].name`. */
    std::string key;
    /** What is wrong and what was expected. */
    std::string expected;

    /** One line: `file:line:column: key: expected`. */
    std::string toString() const;
};

/**
 * Reads the keys of one YAML map strictly: wrong types, values out of range and unknown keys are faults.
 *
 * All faults are collected, so that a user sees them together. Reading a faulty key returns the default.
 * Thread safety: not thread safe.
 */
class YamlMap
{
public:
    /** @p faults must outlive the reader. A node that is not a map is a fault. */
    YamlMap(YAML::Node node, std::string file, std::string path, std::vector<YamlFault> &faults);

    /** The node under @p key, or an undefined node; marks the key as known. */
    YAML::Node node(const std::string &key);

    /** Text; a missing key is a fault. */
    std::string requiredText(const std::string &key);
    /** Text that satisfies isValidName(); a missing key is a fault. */
    std::string requiredName(const std::string &key);
    /** Text, or @p fallback when the key is missing. */
    std::string text(const std::string &key, const std::string &fallback);
    /** Whole number from @p least to @p most; a missing key is a fault. */
    std::int64_t requiredInteger(const std::string &key, std::int64_t least, std::int64_t most);
    /** Whole number from @p least to @p most, or @p fallback when the key is missing. */
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t least, std::int64_t most);
    /** Truth value, or @p fallback when the key is missing. */
    bool boolean(const std::string &key, bool fallback);
    /** One of @p choices, or @p fallback when the key is missing. */
    std::string choice(const std::string &key, const std::string &fallback, const std::vector<std::string> &choices);
    /** List of texts; empty when the key is missing. */
    std::vector<std::string> texts(const std::string &key);
    /** The map under @p key, or no value with a fault when it is missing or not a map. */
    std::optional<YamlMap> requiredMap(const std::string &key);
    /** Calls @p visit for each map of the list under @p key. A missing key is an empty list. */
    void forEachMap(const std::string &key, const std::function<void(YamlMap &)> &visit);

    /** Reports a fault at @p key. */
    void fault(const std::string &key, const std::string &expected);

    /** Reports every key of the map that was not read. Call once, after all keys were read. */
    void finish();

private:
    std::string pathOf(const std::string &key) const;
    void faultAt(const YAML::Node &node, const std::string &key, const std::string &expected);

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    std::vector<YamlFault> *m_faults;
    std::set<std::string> m_known;
};

/** Parses @p content as YAML with a map at its root; a syntax error is one fault. Thread safety: any thread. */
std::optional<YAML::Node> parseYaml(const std::string &content,
                                    const std::string &file,
                                    std::vector<YamlFault> &faults);

/** Reads a whole file; a file that cannot be read, or is larger than @p mostBytes, is one fault. */
std::optional<std::string> readTextFile(const std::string &file, std::size_t mostBytes, std::vector<YamlFault> &faults);

} // namespace coriander
