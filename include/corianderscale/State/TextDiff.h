#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace coriander {

/** One line of a comparison. */
struct DiffLine {
    /** ' ' for a line in both texts, '-' for one only in the old text, '+' for one only in the new text. */
    char mark = ' ';
    /** Line number from 1: in the new text for added lines, otherwise in the old text. */
    std::int64_t line = 0;
    std::string text;
};

/**
 * Returns the changed lines of two texts with up to two unchanged lines before and after each change. Equal texts give
 * no lines.
 *
 * The result is the smallest difference, unless computing it would need too much time and memory; then all lines
 * between the common start and the common end are removed and added. Thread safety: pure function.
 */
std::vector<DiffLine> diffLines(const std::string &oldText, const std::string &newText);

} // namespace coriander
