#include "corianderscale/Gateway/KeptAnswers.h"

namespace coriander {

namespace {

constexpr Duration KeepFor = std::chrono::minutes(5);
/** Estimated memory of an entry in bytes, without its key and answer. */
constexpr std::size_t EntryBytes = 256;

std::size_t sizeOf(const std::string &key, const KeptAnswer &answer)
{
    return EntryBytes + 2 * key.size() + answer.response.body.size();
}

} // namespace

KeptAnswers::KeptAnswers(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

void KeptAnswers::begin(const std::string &key, MonotonicTime now)
{
    forgetOld(now);
    if (m_entries.contains(key)) {
        return;
    }
    const MonotonicTime forgetAt = now + KeepFor;
    const auto entry = m_entries.emplace(key, Entry{{}, forgetAt}).first;
    m_order.emplace_back(forgetAt, key);
    m_bytes += sizeOf(key, entry->second.answer);
}

void KeptAnswers::keep(const std::string &key, HttpResponse response, MonotonicTime now)
{
    begin(key, now);
    Entry &entry = m_entries.at(key);
    m_bytes -= sizeOf(key, entry.answer);
    entry.answer = {false, std::move(response)};
    m_bytes += sizeOf(key, entry.answer);
    forgetOld(now);
}

std::optional<KeptAnswer> KeptAnswers::find(const std::string &key, MonotonicTime now)
{
    forgetOld(now);
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? std::nullopt : std::optional<KeptAnswer>(found->second.answer);
}

void KeptAnswers::forgetOld(MonotonicTime now)
{
    while (!m_order.empty() && (m_order.front().first <= now || m_bytes > m_maximumBytes)) {
        const auto entry = m_entries.find(m_order.front().second);
        if (entry != m_entries.end() && entry->second.forgetAt == m_order.front().first) {
            erase(entry);
        }
        m_order.pop_front();
    }
}

void KeptAnswers::erase(std::map<std::string, Entry>::iterator entry)
{
    m_bytes -= sizeOf(entry->first, entry->second.answer);
    m_entries.erase(entry);
}

} // namespace coriander
