#include "Store.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

constexpr std::size_t MaximumEntries = 100;
constexpr std::size_t MaximumRowBytes = 65536;
constexpr std::size_t RowsPerPage = 500;
constexpr auto AnswerTime = std::chrono::milliseconds(4);

std::string encodeBase64(const std::string &text)
{
    static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            encoded += i + j <= text.size() ? Digits[bits >> (18 - 6 * j) & 63] : '=';
        }
    }
    return encoded;
}

std::string decodeBase64(const std::string &text)
{
    std::string decoded;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const int digit = c >= 'A' && c <= 'Z' ? c - 'A'
            : c >= 'a' && c <= 'z'             ? c - 'a' + 26
            : c >= '0' && c <= '9'             ? c - '0' + 52
            : c == '+'                         ? 62
                                               : 63;
        if (c == '=') {
            break;
        }
        bits = bits << 6 | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8) {
            count -= 8;
            decoded += static_cast<char>(bits >> count & 255);
        }
    }
    return decoded;
}

std::int64_t number(const Request &request, const char *name, std::int64_t fallback)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback : std::stoll(found->second);
}

std::string text(const Request &request, const char *name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

std::tuple<std::string, std::string, std::string> keyOf(const Json &row)
{
    return {row.at("table"), row.value("part", ""), row.at("key")};
}

} // namespace

Store::Store()
    : m_start(SteadyClock::now())
{
}

void Store::listen(unsigned short port)
{
    serve(port, [this](const Request &request) { return handle(request); });
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_version;
    apply({table, "", key}, encodeBase64(value), false);
    m_changed.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_version;
    apply({table, "", key}, "", true);
    m_changed.notify_all();
}

std::string Store::value(const std::string &table, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_rows.find({table, "", key});
    return found == m_rows.end() ? "" : decodeBase64(found->second.value);
}

std::int64_t Store::nowMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - m_start).count();
}

Json Store::rowJson(const RowKey &key, const std::string &value, std::int64_t version)
{
    const auto &[table, part, name] = key;
    return {{"table", table}, {"part", part}, {"key", name}, {"value", value}, {"ver", version}};
}

void Store::apply(const RowKey &key, const std::string &value, bool removed)
{
    if (removed) {
        if (m_rows.erase(key) == 0) {
            return;
        }
    } else {
        m_rows[key] = {value, m_version};
    }
    const auto &[table, part, name] = key;
    m_log.push_back({m_version, table, part, name, value, removed});
}

Response Store::handle(const Request &request)
{
    std::this_thread::sleep_for(AnswerTime);
    if (request.path == "/-/rows-tx") {
        return change(Json::parse(request.body));
    }
    if (request.path == "/-/rows-get") {
        return get(request);
    }
    if (request.path == "/-/rows-feed") {
        return feed(request);
    }
    return {404, "{}"};
}

Response Store::change(const Json &body)
{
    const Json none = Json::array();
    const Json expect = body.value("expect", none);
    const Json upserts = body.value("upserts", none);
    const Json removed = body.value("remove", none);
    bool valid = expect.size() + upserts.size() + removed.size() <= MaximumEntries;
    for (const Json &row : upserts) {
        const std::string table = row.at("table");
        valid = valid && row.at("value").get<std::string>().size() * 3 / 4 <= MaximumRowBytes;
        if (table == "op" || table == "servers") {
            return {403, "{}"};
        }
    }
    if (!valid) {
        return {400, "{}"};
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    bool matches = true;
    Json current = Json::array();
    for (const Json &row : expect) {
        const auto found = m_rows.find(keyOf(row));
        matches = matches && row.at("ver").get<std::int64_t>() == (found == m_rows.end() ? 0 : found->second.version);
        if (found != m_rows.end()) {
            current.push_back(rowJson(found->first, found->second.value, found->second.version));
        }
    }
    Json answer = {{"ver", m_version}, {"now_ms", nowMs()}};
    if (!matches) {
        answer["rows"] = current;
        return {412, answer.dump()};
    }
    answer["ver"] = ++m_version;
    for (const Json &row : upserts) {
        apply(keyOf(row), row.at("value"), false);
    }
    for (const Json &row : removed) {
        apply(keyOf(row), "", true);
    }
    m_changed.notify_all();
    return {200, answer.dump()};
}

Response Store::get(const Request &request)
{
    const std::string table = text(request, "table");
    const std::string part = text(request, "part");
    const std::string to = text(request, "to");
    const auto limit = static_cast<std::size_t>(number(request, "limit", RowsPerPage));
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json rows = Json::array();
    bool more = false;
    for (auto row = m_rows.lower_bound({table, part, text(request, "from")}); row != m_rows.end(); ++row) {
        const auto &[rowTable, rowPart, key] = row->first;
        if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
            break;
        }
        if (rows.size() >= std::min(limit, RowsPerPage)) {
            more = true;
            break;
        }
        rows.push_back(rowJson(row->first, row->second.value, row->second.version));
    }
    return {200, Json{{"rows", rows}, {"has_more", more}, {"ver", m_version}, {"now_ms", nowMs()}}.dump()};
}

Response Store::feed(const Request &request)
{
    const std::string table = text(request, "table");
    const std::int64_t after = number(request, "after", 0);
    const auto end = SteadyClock::now() + std::chrono::milliseconds(number(request, "wait_ms", 0));
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        Json rows = Json::array();
        std::int64_t version = m_version;
        auto entry = std::upper_bound(m_log.begin(), m_log.end(), after, [](std::int64_t value, const Change &change) {
            return value < change.version;
        });
        for (; entry != m_log.end(); ++entry) {
            if (entry->table != table) {
                continue;
            }
            Json row = rowJson({entry->table, entry->part, entry->key}, entry->value, entry->version);
            if (entry->removed) {
                row["deleted"] = true;
                row.erase("value");
            }
            rows.push_back(std::move(row));
        }
        if (!rows.empty() || SteadyClock::now() >= end) {
            return {200, Json{{"rows", rows}, {"ver", version}, {"now_ms", nowMs()}}.dump()};
        }
        m_changed.wait_until(lock, end);
    }
}

} // namespace review
