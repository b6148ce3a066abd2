#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriander {

/** An error in a YAML file, with its position and what was expected there. */
struct YamlFault {
    std::string file;
    /** Counted from 1; 0 when the position is not known. */
    int line = 0;
    /** Counted from 1; 0 when the position is not known. */
    int column = 0;
    /** Path of the key, such as `data_centres[0].name`. */
    std::string key;
    /** What is wrong and what was expected. */
    std::string expected;

    /** One line: `file:line:column: key: expected`. */
    std::string toString() const;
};

/**
 * Strict reader for the keys of one YAML map: wrong types, values out of range and unknown keys are faults.
 *
 * All faults are collected, so that a user sees them at once. Reading a faulty key returns its fallback, or an empty or
 * minimum value when it has none.
 * Thread safety: not thread safe.
 */
class YamlMap
{
public:
    /** @p faults must outlive the reader. A node that is not a map is a fault. */
    YamlMap(YAML::Node node, std::string file, std::string path, std::vector<YamlFault> &faults);

    /** Returns the node under @p key, or an undefined node, and marks the key as known. */
    YAML::Node node(const std::string &key);

    /** Returns a string; a missing key is a fault. */
    std::string requiredText(const std::string &key);
    /** Returns a string that satisfies isValidName(); a missing key is a fault. */
    std::string requiredName(const std::string &key);
    /** Returns a string, or @p fallback when the key is missing. */
    std::string text(const std::string &key, const std::string &fallback);
    /** Returns an integer from @p minimum to @p maximum; a missing key is a fault. */
    std::int64_t requiredInteger(const std::string &key, std::int64_t minimum, std::int64_t maximum);
    /** Returns an integer from @p minimum to @p maximum, or @p fallback when the key is missing. */
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum);
    /** Returns a Boolean, or @p fallback when the key is missing. */
    bool boolean(const std::string &key, bool fallback);
    /** Returns one of @p choices, or @p fallback when the key is missing. */
    std::string choice(const std::string &key, const std::string &fallback, const std::vector<std::string> &choices);
    /** Returns a list of strings; empty when the key is missing. */
    std::vector<std::string> texts(const std::string &key);
    /** Returns the map under @p key. A missing key or another type is a fault and gives no value. */
    std::optional<YamlMap> requiredMap(const std::string &key);
    /** Calls @p visit for each map in the list under @p key. A missing key counts as an empty list. */
    void forEachMap(const std::string &key, const std::function<void(YamlMap &)> &visit);

    /** Adds a fault at @p key. */
    void fault(const std::string &key, const std::string &expected);

    /** Adds a fault for every key of the map that was not read. Call once, after reading all keys. */
    void finish();

private:
    std::string pathTo(const std::string &key) const;
    void addFaultAt(const YAML::Node &node, const std::string &key, const std::string &expected);

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    std::vector<YamlFault> *m_faults;
    std::set<std::string> m_knownKeys;
};

/** Parses @p content as one YAML document with a map at its root; any error is one fault. Thread safety: any thread. */
std::optional<YAML::Node> parseYaml(const std::string &content,
                                    const std::string &file,
                                    std::vector<YamlFault> &faults);

/** Reads a whole file. A file that cannot be opened or is larger than @p maximumBytes is one fault. */
std::optional<std::string> readTextFile(const std::string &file,
                                        std::size_t maximumBytes,
                                        std::vector<YamlFault> &faults);

} // namespace coriander
