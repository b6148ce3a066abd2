#include "corianderscale/Gateway/AnswerCache.h"

namespace coriander {

namespace {

constexpr Duration RetentionTime = std::chrono::minutes(5);
/** Estimated memory of an entry in bytes, without its key and answer. */
constexpr std::size_t EntryBytes = 256;

std::size_t sizeOf(const std::string &key, const CachedAnswer &answer)
{
    return EntryBytes + 2 * key.size() + answer.response.body.size();
}

} // namespace

AnswerCache::AnswerCache(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

void AnswerCache::addPending(const std::string &key, MonotonicTime now)
{
    evict(now);
    if (m_entries.contains(key)) {
        return;
    }
    const MonotonicTime expiresAt = now + RetentionTime;
    const auto entry = m_entries.emplace(key, Entry{{}, expiresAt}).first;
    m_order.emplace_back(expiresAt, key);
    m_bytes += sizeOf(key, entry->second.answer);
}

void AnswerCache::put(const std::string &key, HttpResponse response, MonotonicTime now)
{
    addPending(key, now);
    Entry &entry = m_entries.at(key);
    m_bytes -= sizeOf(key, entry.answer);
    entry.answer = {false, std::move(response)};
    m_bytes += sizeOf(key, entry.answer);
    evict(now);
}

std::optional<CachedAnswer> AnswerCache::find(const std::string &key, MonotonicTime now)
{
    evict(now);
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? std::nullopt : std::optional<CachedAnswer>(found->second.answer);
}

void AnswerCache::evict(MonotonicTime now)
{
    while (!m_order.empty() && (m_order.front().first <= now || m_bytes > m_maximumBytes)) {
        const auto entry = m_entries.find(m_order.front().second);
        if (entry != m_entries.end() && entry->second.expiresAt == m_order.front().first) {
            erase(entry);
        }
        m_order.pop_front();
    }
}

void AnswerCache::erase(std::map<std::string, Entry>::iterator entry)
{
    m_bytes -= sizeOf(entry->first, entry->second.answer);
    m_entries.erase(entry);
}

} // namespace coriander
