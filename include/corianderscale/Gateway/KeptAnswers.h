#pragma once

#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Transport/Http.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace coriander {

/** What this gateway remembers of a request by its key. */
struct KeptAnswer {
    /** Whether the request is still under way here. */
    bool pending = true;
    HttpResponse response;
};

/**
 * Answers of idempotent requests with a key, kept for GET for five minutes in a bounded store.
 *
 * Keys are row keys, which contain organisation and caller, so that no caller reaches another's. Thread safety: the
 * gateway's thread.
 */
class KeptAnswers
{
public:
    explicit KeptAnswers(std::size_t maximumBytes);

    /** Notes that a request is under way. */
    void begin(const std::string &key, MonotonicTime now);
    /** Keeps an answer in place of what is known of the key. */
    void keep(const std::string &key, HttpResponse response, MonotonicTime now);
    std::optional<KeptAnswer> find(const std::string &key, MonotonicTime now);

private:
    struct Entry {
        KeptAnswer answer;
        MonotonicTime forgetAt;
    };

    void forgetOld(MonotonicTime now);
    void erase(std::map<std::string, Entry>::iterator entry);

    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    std::map<std::string, Entry> m_entries;
    std::deque<std::pair<MonotonicTime, std::string>> m_order;
};

} // namespace coriander
