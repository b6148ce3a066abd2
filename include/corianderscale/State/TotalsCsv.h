#pragma once

#include "corianderscale/State/Totals.h"

#include <string>
#include <string_view>

namespace coriander {

/**
 * Returns a text as one CSV field. Quotes are doubled, and a text that a spreadsheet would evaluate as a formula gets a
 * leading apostrophe. Thread safety: pure function.
 */
std::string csvField(std::string_view text);

/**
 * Returns the totals as CSV (RFC 4180, CRLF). The column `row` names the kind of a row: `status` (complete or
 * incomplete), `missing`, `caller`, `organisation` (sum of its callers), `correction-<n>`. Hours have six decimals.
 * Thread safety: pure function.
 */
std::string totalsToCsv(const DayTotals &totals);

} // namespace coriander
