#include "corianderscale/Ctl/TextTable.h"

#include <absl/time/time.h>

#include <algorithm>

namespace coriander {

namespace {

constexpr std::size_t ColumnGap = 2;

/** Replaces control characters, so that text from other machines cannot control the terminal. */
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
    return text;
}

} // namespace

TextTable::TextTable(std::vector<std::string> titles)
{
    m_rows.push_back(std::move(titles));
}

void TextTable::add(std::vector<std::string> cells)
{
    cells.resize(m_rows.front().size());
    std::transform(cells.begin(), cells.end(), cells.begin(), printable);
    m_rows.push_back(std::move(cells));
}

std::string TextTable::toString() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - row[i].size() + ColumnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

std::string timeText(std::int64_t unixMs)
{
    if (unixMs == 0) {
        return "-";
    }
    return absl::FormatTime("%Y-%m-%d %H:%M:%SZ", absl::FromUnixMillis(unixMs), absl::UTCTimeZone());
}

} // namespace coriander
