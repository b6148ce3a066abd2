#pragma once

#include "corianderscale/State/Totals.h"

#include <string>
#include <string_view>

namespace coriander {

/**
 * One CSV field. Quotes are doubled, and a text that a spreadsheet would take for a formula gets an apostrophe in
 * front. Thread safety: pure function.
 */
std::string csvField(std::string_view text);

/**
 * The totals as CSV (RFC 4180, CRLF). The column `row` tells what a row is: `status` (complete or incomplete),
 * `missing`, `caller`, `organisation` (sum of its callers), `correction-<n>`. Hours have six decimals. Thread safety:
 * pure function.
 */
std::string totalsToCsv(const DayTotals &totals);

} // namespace coriander
