#pragma once

#include <string>
#include <vector>

namespace coriander {

/** Formats rows of cells as aligned columns. Control characters are replaced by `?`. Thread safety: one thread. */
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> titles);

    /** Adds a row; missing cells are empty. */
    void add(std::vector<std::string> cells);

    /** Returns the table as text with one line per row. */
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/** A time in UTC such as `2026-12-04 09:44:00Z`, or `-` for 0. Thread safety: pure function. */
std::string timeText(std::int64_t unixMs);

} // namespace coriander
