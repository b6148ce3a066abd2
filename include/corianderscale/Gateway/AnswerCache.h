#pragma once

#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Transport/Http.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace coriander {

/** Cached state of a request. */
struct CachedAnswer {
    /** Whether the request is still in progress at this gateway. */
    bool pending = true;
    HttpResponse response;
};

/**
 * Cache of the answers to idempotent requests with a key, for later GET calls. Answers are kept for five minutes within
 * a memory limit.
 *
 * Keys are row keys. They contain organisation and caller, so that no caller can read the answers of another. Thread
 * safety: the gateway's thread.
 */
class AnswerCache
{
public:
    explicit AnswerCache(std::size_t maximumBytes);

    /** Records that a request is in progress; does nothing when the key is known. */
    void addPending(const std::string &key, MonotonicTime now);
    /** Stores an answer and replaces the existing entry of the key. */
    void put(const std::string &key, HttpResponse response, MonotonicTime now);
    std::optional<CachedAnswer> find(const std::string &key, MonotonicTime now);

private:
    struct Entry {
        CachedAnswer answer;
        MonotonicTime expiresAt;
    };

    void evict(MonotonicTime now);
    void erase(std::map<std::string, Entry>::iterator entry);

    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    std::map<std::string, Entry> m_entries;
    std::deque<std::pair<MonotonicTime, std::string>> m_order;
};

} // namespace coriander
