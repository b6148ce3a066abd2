#include "Store.h"

#include <chrono>

namespace review {

using coriander::HttpRequest;
using coriander::HttpResponse;
using coriander::jsonResponse;

namespace {

/** Limits and times of the store in PROTOCOL.md and in the site sheet of Trinacria. */
constexpr std::size_t MaximumEntries = 100;
constexpr std::size_t MaximumBytes = 1024 * 1024;
constexpr std::size_t MaximumRowBytes = 65536;
constexpr std::size_t RowsPerPage = 500;
constexpr int AnswerMs = 4;

std::string toBase64(const std::string &bytes)
{
    static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = static_cast<unsigned char>(bytes[i]) << 16;
        group |= i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) << 8 : 0;
        group |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0;
        text += Digits[group >> 18];
        text += Digits[(group >> 12) & 63];
        text += i + 1 < bytes.size() ? Digits[(group >> 6) & 63] : '=';
        text += i + 2 < bytes.size() ? Digits[group & 63] : '=';
    }
    return text;
}

Store::Key keyOf(const Json &row)
{
    return {row.at("table").get<std::string>(), row.value("part", std::string()), row.at("key").get<std::string>()};
}

Json rowToJson(const Store::Key &key, const std::string &value, std::int64_t version)
{
    return {{"table", std::get<0>(key)},
            {"part", std::get<1>(key)},
            {"key", std::get<2>(key)},
            {"value", value},
            {"ver", version}};
}

std::int64_t toNumber(const std::string &text)
{
    return text.empty() ? 0 : std::stoll(text);
}

} // namespace

Store::Store(boost::asio::io_context &loop)
    : m_loop(loop)
    , m_server(
          loop,
          {16 * 1024, 4 * 1024 * 1024, std::chrono::seconds(10), std::chrono::seconds(120)},
          [this](const HttpRequest &request, const coriander::AsyncHttpRespond &respond) { handle(request, respond); })
{
}

std::string Store::listen()
{
    coriander::TransportError error;
    if (!m_server.listen("127.0.0.1:0", error)) {
        throw std::runtime_error(error.reason);
    }
    return "127.0.0.1:" + std::to_string(m_server.port());
}

void Store::setTreatment(Treat treat)
{
    m_treat = std::move(treat);
}

void Store::setLateDelay(int milliseconds)
{
    m_lateDelayMs = milliseconds;
}

int Store::oversized() const
{
    return m_oversized;
}

std::size_t Store::largestTransaction() const
{
    return m_largest;
}

std::int64_t Store::nowMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void Store::later(int milliseconds, std::function<void()> next)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, std::chrono::milliseconds(milliseconds));
    timer->async_wait([timer, next = std::move(next)](boost::system::error_code code) {
        if (!code) {
            next();
        }
    });
}

void Store::put(const std::string &table, const std::string &key, const std::string &bytes)
{
    ++m_version;
    write({table, "", key}, toBase64(bytes), false);
    wakeWaiters();
}

void Store::drop(const std::string &table, const std::string &key)
{
    ++m_version;
    write({table, "", key}, {}, true);
    wakeWaiters();
}

void Store::write(const Key &key, const std::string &value, bool removed)
{
    if (removed) {
        if (m_rows.erase(key) > 0) {
            m_log.push_back({m_version, key, true, {}});
        }
        return;
    }
    m_rows[key] = {value, m_version};
    m_log.push_back({m_version, key, false, value});
}

void Store::handle(const HttpRequest &request, const coriander::AsyncHttpRespond &respond)
{
    const Treatment treatment = m_treat ? m_treat(request.path, request.body) : Treatment::Normal;
    if (treatment == Treatment::Busy) {
        later(AnswerMs, [respond] { respond(jsonResponse(503, "{}")); });
        return;
    }
    if (treatment == Treatment::Silent || treatment == Treatment::Late) {
        m_unanswered.push_back(respond);
        if (treatment == Treatment::Late) {
            later(m_lateDelayMs, [this, body = request.body] {
                transact(body);
                wakeWaiters();
            });
        }
        return;
    }
    if (request.path == "/-/rows-tx") {
        later(AnswerMs, [this, body = request.body, respond] {
            respond(transact(body));
            wakeWaiters();
        });
        return;
    }
    if (request.path == "/-/rows-get") {
        later(AnswerMs, [this, request, respond] { respond(read(request)); });
        return;
    }
    if (request.path != "/-/rows-feed") {
        respond(jsonResponse(404, "{}"));
        return;
    }
    const auto waiter = std::make_shared<Waiter>();
    waiter->table = request.parameter("table");
    waiter->after = toNumber(request.parameter("after"));
    waiter->respond = respond;
    waiter->timer = std::make_shared<boost::asio::steady_timer>(
        m_loop, std::chrono::milliseconds(AnswerMs + toNumber(request.parameter("wait_ms"))));
    waiter->timer->async_wait([this, waiter](boost::system::error_code code) {
        if (!code && !waiter->done) {
            waiter->done = true;
            waiter->respond(feed(waiter->table, waiter->after));
        }
    });
    m_waiters.push_back(waiter);
    later(AnswerMs, [this] { wakeWaiters(); });
}

HttpResponse Store::transact(const std::string &body)
{
    const Json call = Json::parse(body);
    const Json expect = call.value("expect", Json::array());
    const Json upserts = call.value("upserts", Json::array());
    const Json remove = call.value("remove", Json::array());
    const std::size_t entries = expect.size() + upserts.size() + remove.size();
    m_largest = std::max(m_largest, entries);
    if (entries > MaximumEntries || body.size() > MaximumBytes) {
        ++m_oversized;
        return jsonResponse(400, R"({"error":"too many entries or bytes"})");
    }
    for (const Json &row : upserts) {
        if (row.at("value").get<std::string>().size() * 3 / 4 > MaximumRowBytes + 2) {
            ++m_oversized;
            return jsonResponse(400, R"({"error":"the row is too large"})");
        }
    }
    for (const Json &list : {upserts, remove}) {
        for (const Json &row : list) {
            if (row.at("table") == "op" || row.at("table") == "servers") {
                return jsonResponse(403, "{}");
            }
        }
    }
    bool holds = true;
    Json current = Json::array();
    for (const Json &row : expect) {
        const Key key = keyOf(row);
        const auto found = m_rows.find(key);
        const std::int64_t version = found == m_rows.end() ? 0 : found->second.version;
        holds = holds && version == row.at("ver").get<std::int64_t>();
        if (found != m_rows.end()) {
            current.push_back(rowToJson(key, found->second.value, version));
        }
    }
    if (!holds) {
        return jsonResponse(412, Json{{"rows", current}, {"ver", m_version}, {"now_ms", nowMs()}}.dump());
    }
    ++m_version;
    for (const Json &row : upserts) {
        write(keyOf(row), row.at("value").get<std::string>(), false);
    }
    for (const Json &row : remove) {
        write(keyOf(row), {}, true);
    }
    return jsonResponse(200, Json{{"ver", m_version}, {"now_ms", nowMs()}}.dump());
}

HttpResponse Store::read(const HttpRequest &request) const
{
    const std::string table = request.parameter("table");
    const std::string part = request.parameter("part");
    const std::string to = request.parameter("to");
    const std::int64_t limit = toNumber(request.parameter("limit"));
    const std::size_t most = limit > 0 ? std::min<std::size_t>(limit, RowsPerPage) : RowsPerPage;
    Json rows = Json::array();
    bool more = false;
    for (auto row = m_rows.lower_bound({table, part, request.parameter("from")}); row != m_rows.end(); ++row) {
        const auto &[rowTable, rowPart, key] = row->first;
        if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
            break;
        }
        if (rows.size() == most) {
            more = true;
            break;
        }
        rows.push_back(rowToJson(row->first, row->second.value, row->second.version));
    }
    return jsonResponse(200, Json{{"rows", rows}, {"has_more", more}, {"ver", m_version}, {"now_ms", nowMs()}}.dump());
}

std::vector<const Store::Change *> Store::changesAfter(const std::string &table, std::int64_t version) const
{
    std::vector<const Change *> found;
    for (const Change &change : m_log) {
        if (change.version > version && std::get<0>(change.key) == table && found.size() < RowsPerPage) {
            found.push_back(&change);
        }
    }
    return found;
}

HttpResponse Store::feed(const std::string &table, std::int64_t after) const
{
    Json rows = Json::array();
    const std::vector<const Change *> changes = changesAfter(table, after);
    for (const Change *change : changes) {
        Json row = rowToJson(change->key, change->value, change->version);
        if (change->removed) {
            row["deleted"] = true;
        }
        rows.push_back(std::move(row));
    }
    const std::int64_t version = changes.size() == RowsPerPage ? changes.back()->version : m_version;
    return jsonResponse(200, Json{{"rows", rows}, {"ver", version}, {"now_ms", nowMs()}}.dump());
}

void Store::wakeWaiters()
{
    for (const std::shared_ptr<Waiter> &waiter : m_waiters) {
        if (!waiter->done && !changesAfter(waiter->table, waiter->after).empty()) {
            waiter->done = true;
            waiter->timer->cancel();
            waiter->respond(feed(waiter->table, waiter->after));
        }
    }
    std::erase_if(m_waiters, [](const std::shared_ptr<Waiter> &waiter) { return waiter->done; });
}

} // namespace review
