#include "corianderscale/State/TextDiff.h"

#include <algorithm>

namespace coriander {

namespace {

/** Maximum number of cells in the table of common subsequences, which limits its memory to 16 MiB. */
constexpr std::size_t MaximumCells = 4 * 1024 * 1024;
/** Unchanged lines that are shown before and after a change. */
constexpr std::size_t ContextLines = 2;

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        lines.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return lines;
}

class LineDiff
{
public:
    LineDiff(std::vector<std::string> oldLines, std::vector<std::string> newLines)
        : m_old(std::move(oldLines))
        , m_new(std::move(newLines))
    {
    }

    std::vector<DiffLine> run()
    {
        std::size_t commonPrefix = 0;
        while (commonPrefix < std::min(m_old.size(), m_new.size()) && m_old[commonPrefix] == m_new[commonPrefix]) {
            keep(commonPrefix++);
        }
        std::size_t commonSuffix = 0;
        while (commonSuffix < std::min(m_old.size(), m_new.size()) - commonPrefix
               && m_old[m_old.size() - 1 - commonSuffix] == m_new[m_new.size() - 1 - commonSuffix]) {
            ++commonSuffix;
        }
        const std::size_t oldEnd = m_old.size() - commonSuffix;
        const std::size_t newEnd = m_new.size() - commonSuffix;
        if ((oldEnd - commonPrefix + 1) * (newEnd - commonPrefix + 1) <= MaximumCells) {
            compare(commonPrefix, oldEnd, newEnd);
        } else {
            replace(commonPrefix, oldEnd, newEnd);
        }
        for (std::size_t i = oldEnd; i < m_old.size(); ++i) {
            keep(i);
        }
        return std::move(m_result);
    }

private:
    void keep(std::size_t i)
    {
        m_result.push_back({' ', static_cast<std::int64_t>(i + 1), m_old[i]});
    }

    void remove(std::size_t i)
    {
        m_result.push_back({'-', static_cast<std::int64_t>(i + 1), m_old[i]});
    }

    void add(std::size_t i)
    {
        m_result.push_back({'+', static_cast<std::int64_t>(i + 1), m_new[i]});
    }

    void replace(std::size_t commonPrefix, std::size_t oldEnd, std::size_t newEnd)
    {
        for (std::size_t i = commonPrefix; i < oldEnd; ++i) {
            remove(i);
        }
        for (std::size_t i = commonPrefix; i < newEnd; ++i) {
            add(i);
        }
    }

    void compare(std::size_t commonPrefix, std::size_t oldEnd, std::size_t newEnd)
    {
        const std::size_t rows = oldEnd - commonPrefix;
        const std::size_t columns = newEnd - commonPrefix;
        // Element (i, j) is the length of the longest common subsequence of the old lines from i and the new lines from
        // j.
        std::vector<std::uint32_t> lcsLengths((rows + 1) * (columns + 1), 0);
        const auto at = [&lcsLengths, columns](std::size_t i, std::size_t j) -> std::uint32_t & {
            return lcsLengths[i * (columns + 1) + j];
        };
        for (std::size_t i = rows; i-- > 0;) {
            for (std::size_t j = columns; j-- > 0;) {
                at(i, j) = m_old[commonPrefix + i] == m_new[commonPrefix + j] ? at(i + 1, j + 1) + 1
                                                                              : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
        std::size_t i = 0;
        std::size_t j = 0;
        while (i < rows || j < columns) {
            if (i < rows && j < columns && m_old[commonPrefix + i] == m_new[commonPrefix + j]) {
                keep(commonPrefix + i++);
                ++j;
            } else if (j == columns || (i < rows && at(i + 1, j) >= at(i, j + 1))) {
                remove(commonPrefix + i++);
            } else {
                add(commonPrefix + j++);
            }
        }
    }

    std::vector<std::string> m_old;
    std::vector<std::string> m_new;
    std::vector<DiffLine> m_result;
};

} // namespace

std::vector<DiffLine> diffLines(const std::string &oldText, const std::string &newText)
{
    const std::vector<DiffLine> all = LineDiff(splitLines(oldText), splitLines(newText)).run();
    std::vector<bool> shown(all.size(), false);
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (all[i].mark == ' ') {
            continue;
        }
        const std::size_t first = i < ContextLines ? 0 : i - ContextLines;
        const std::size_t last = std::min(all.size() - 1, i + ContextLines);
        std::fill(shown.begin() + static_cast<std::ptrdiff_t>(first),
                  shown.begin() + static_cast<std::ptrdiff_t>(last + 1),
                  true);
    }
    std::vector<DiffLine> result;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (shown[i]) {
            result.push_back(all[i]);
        }
    }
    return result;
}

} // namespace coriander
