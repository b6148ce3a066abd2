#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace coriander {

/** One line of a comparison. */
struct DiffLine {
    /** ' ' in both, '-' only in the old text, '+' only in the new text. */
    char mark = ' ';
    /** Line number in the old text, or in the new one for added lines; counted from 1. */
    std::int64_t line = 0;
    std::string text;
};

/**
 * The changed lines of two texts, each with up to two unchanged lines around it. Equal texts give no lines.
 *
 * The smallest difference, unless the texts differ in so many lines that finding it would take long; then the whole
 * different middle is shown as removed and added. Thread safety: pure function.
 */
std::vector<DiffLine> diffLines(const std::string &oldText, const std::string &newText);

} // namespace coriander
